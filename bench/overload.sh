#!/bin/sh
# Overload with real processes: requests that must run once and take 50 ms, from
# as many callers as the servers have slots, then twice and five times as many.
# Prints goodput, the latency of what was answered, and requests run twice.
# Usage: bench/overload.sh BUILD-FOLDER SECONDS
set -eu
BIN=$1
SECONDS_EACH=$2
SLOTS=60 # of the three servers together
OUT=out/bench/overload
rm -rf "$OUT"
. examples/deploy.sh
trap deploy_stop EXIT

# field NAME FILES: the sum of a total over the callers.
field() {
  name=$1
  shift
  cat "$@" | tr ' ' '\n' | sed -n "s/^$name=//p" \
    | awk '{ s += $1 } END { print s + 0 }'
}

# highest NAME FILES: the highest of a total over the callers.
highest() {
  name=$1
  shift
  cat "$@" | tr ' ' '\n' | sed -n "s/^$name=//p" | sort -n | tail -1
}

# twice: ids that servers began to run more than once.
twice() {
  cat "$OUT"/server-*.rec | awk '$2 == "begin" { print $NF }' | sort \
    | uniq -d | wc -l
}

# load FACTOR: one row.
load() {
  pids=""
  for i in 1 2 3; do
    "$BIN/standin_caller" --node "$(deploy_front "$i")" --method POST \
      --path '/plans/plan-%?run-ms=50' --keys 2000 --seed "$i$1" \
      --seconds "$SECONDS_EACH" --parallel $((SLOTS * $1 / 3)) --timeout 3000 \
      --quiet > "$OUT/caller-$i.txt" &
    pids="$pids $!"
  done
  for p in $pids; do
    wait "$p" || true
  done
  done_count=$(field done "$OUT"/caller-*.txt)
  goodput=$((done_count / SECONDS_EACH))
  [ "$1" != 1 ] || peak=$goodput
  echo "| $1x | $goodput | $(awk "BEGIN { printf \"%.2f\", $goodput / $peak }")" \
    "| $(field not-run "$OUT"/caller-*.txt) | $(field unknown \
      "$OUT"/caller-*.txt) | $(highest p50-usec "$OUT"/caller-*.txt) |" \
    "$(highest p99-usec "$OUT"/caller-*.txt) | $(twice) |"
}

deploy_start wales 20
sleep 1
deploy_publish examples/wales/config.ini > /dev/null
deploy_wait_owner enquiry-desk plan-1 30
sleep 3
echo "| callers | answered a second | of 1x | not run | unknown | p50, us |" \
  "p99, us | run twice |"
echo "|---|---|---|---|---|---|---|---|"
load 1
load 2
load 5
