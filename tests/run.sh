#!/bin/sh
# Run the named test programs and count those that pass and fail.  A program
# that KNOWN-RED.txt lists as `test: PROGRAM' may fail: it is printed and does
# not affect the exit status.
# Usage: tests/run.sh BUILD-FOLDER PROGRAM...
b=$1
shift
passed=0
failed=0
known_red=0
for t in "$@"; do
  if out=$("$b/$t" 2>&1); then
    passed=$((passed + 1))
    printf '%s\n' "$out" | grep -E '^ +asserts' | sed "s/^/$t /"
  elif grep -q "^test: $t\$" KNOWN-RED.txt 2>/dev/null; then
    known_red=$((known_red + 1))
    echo "known red: $t"
  else
    failed=$((failed + 1))
    printf '%s\n' "$out" | tail -60
    echo "FAILED: $t"
  fi
done
[ "$known_red" = 0 ] || echo "known red: $known_red programs"
echo "$passed passed, $failed failed"
[ "$failed" = 0 ]
