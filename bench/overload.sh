#!/bin/sh
# Overload with real processes: requests of run mode `once' that take 50 ms, at
# a concurrency of the servers' slots, then at twice and five times as many.
# Prints goodput, the latency of answered requests, and requests run twice.
# Usage: bench/overload.sh BUILD-FOLDER SECONDS
set -eu
BIN=$1
SECONDS_EACH=$2
SLOTS=60 # total of the three servers
OUT=out/bench/overload
rm -rf "$OUT"
. examples/deploy.sh
trap deploy_stop EXIT

# sum_field NAME FILES: the sum of counter NAME over the callers' files.
sum_field() {
  name=$1
  shift
  cat "$@" | tr ' ' '\n' | sed -n "s/^$name=//p" \
    | awk '{ s += $1 } END { print s + 0 }'
}

# max_field NAME FILES: the maximum of field NAME over the callers' files.
max_field() {
  name=$1
  shift
  cat "$@" | tr ' ' '\n' | sed -n "s/^$name=//p" | sort -n | tail -1
}

# count_repeated: print how many request ids servers started more than once.
count_repeated() {
  cat "$OUT"/server-*.rec | awk '$2 == "begin" { print $NF }' | sort \
    | uniq -d | wc -l
}

# run_load FACTOR: apply FACTOR times the load of all slots, print a table row.
run_load() {
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
  done_count=$(sum_field done "$OUT"/caller-*.txt)
  goodput=$((done_count / SECONDS_EACH))
  [ "$1" != 1 ] || peak=$goodput
  echo "| $1x | $goodput | $(awk "BEGIN { printf \"%.2f\", $goodput / $peak }")" \
    "| $(sum_field not-run "$OUT"/caller-*.txt) | $(sum_field unknown \
      "$OUT"/caller-*.txt) | $(max_field p50-usec "$OUT"/caller-*.txt) |" \
    "$(max_field p99-usec "$OUT"/caller-*.txt) | $(count_repeated) |"
}

deploy_start wales 20
sleep 1
deploy_publish examples/wales/config.ini > /dev/null
deploy_wait_owner enquiry-desk plan-1 30
sleep 3
echo "| callers | answered a second | of 1x | not run | unknown | p50, us |" \
  "p99, us | run twice |"
echo "|---|---|---|---|---|---|---|---|"
run_load 1
run_load 2
run_load 5
