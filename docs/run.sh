#!/bin/sh
# Run the commands of docs/OPERATE.md as they stand there.
# Usage: docs/run.sh BUILD-FOLDER
set -u
BIN=$1
OUT=out/docs
rm -rf "$OUT"
mkdir -p "$OUT"
. examples/deploy.sh
trap deploy_stop EXIT
PIDS=""
failed=0
passed=0
sed -n '/^```sh$/,/^```$/p' docs/OPERATE.md | grep -v '^```' > "$OUT/commands"
while IFS= read -r command <&3; do
  if eval "$command" > "$OUT/out" 2>&1 < /dev/null; then
    passed=$((passed + 1))
  else
    failed=$((failed + 1))
    echo "failed: $command"
    tail -5 "$OUT/out"
  fi
done 3< "$OUT/commands"
echo "docs: $passed passed, $failed failed"
[ "$failed" = 0 ]
