#!/bin/sh
# Run the named test programs and count those that pass and fail.  A test that
# KNOWN-RED.txt lists as `test: PROGRAM: TITLE' may fail: it is printed and does
# not affect the exit status.  A program that does not come to its end fails.
# Usage: tests/run.sh BUILD-FOLDER PROGRAM...
b=$1
shift
passed=0
failed=0
known_red=0

# Print the titles of the tests that failed, from the output of CUnit.
failed_titles () {
  printf '%s\n' "$1" | sed -n 's/^ *Test: \(.*\) \.\.\.FAILED.*/\1/p'
}

# Succeed if the program $1 with the output $2 ran to its end and failed only
# in tests that KNOWN-RED.txt lists.
only_known_red () {
  printf '%s\n' "$2" | grep -qE '^ +asserts' || return 1
  titles=$(failed_titles "$2")
  [ -n "$titles" ] || return 1
  printf '%s\n' "$titles" | while read -r title; do
    grep -qxF "test: $1: $title" KNOWN-RED.txt || exit 1
  done
}

for t in "$@"; do
  if out=$("$b/$t" 2>&1); then
    passed=$((passed + 1))
    printf '%s\n' "$out" | grep -E '^ +asserts' | sed "s/^/$t /"
  elif only_known_red "$t" "$out"; then
    passed=$((passed + 1))
    known_red=$((known_red + $(failed_titles "$out" | wc -l)))
    failed_titles "$out" | sed "s/^/known red: $t: /"
  else
    failed=$((failed + 1))
    printf '%s\n' "$out" | tail -60
    echo "FAILED: $t"
  fi
done
[ "$known_red" = 0 ] || echo "known red: $known_red tests"
echo "$passed passed, $failed failed"
[ "$failed" = 0 ]
