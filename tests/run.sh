#!/bin/sh
# Run each test program named; a program listed in KNOWN-RED.txt may fail.
# Usage: tests/run.sh BUILD-FOLDER PROGRAM...
b=$1
shift
passed=0
failed=0
red=0
for t in "$@"; do
  if out=$("$b/$t" 2>&1); then
    passed=$((passed + 1))
    printf '%s\n' "$out" | grep -E '^ +asserts' | sed "s/^/$t /"
  elif grep -q "^test: $t\$" KNOWN-RED.txt 2>/dev/null; then
    red=$((red + 1))
    echo "known red: $t"
  else
    failed=$((failed + 1))
    printf '%s\n' "$out" | tail -60
    echo "FAILED: $t"
  fi
done
[ "$red" = 0 ] || echo "known red: $red programs"
echo "$passed passed, $failed failed"
[ "$failed" = 0 ]
