#!/bin/sh
# Test of durable state with real processes: the log retains few records, every
# node is replaced twice, once with the log down in between, and the accepted
# configuration must stay in force on every node.
# Usage: scenarios/state.sh BUILD-FOLDER
set -eu
BIN=$1
OUT=out/state
rm -rf "$OUT"
. examples/deploy.sh
trap deploy_stop EXIT

# set_log QUERY: send a control request to the log stand-in.
set_log() {
  timeout 5 "$BIN/standin_caller" --node "$LOG" --path "/control?$1" \
    --count 1 --quiet > /dev/null 2>&1 || true
}

# settings I: write settings for node I with short intervals between snapshots.
settings() {
  sed 's/^stream = .*/&\nsnapshot-records = 20\nsnapshot-seconds = 5/' \
    "examples/wales/node-$1.ini" > "$OUT/node-$1.ini"
  printf '\n[peers]\nseeds = %s\n' "$SEEDS" >> "$OUT/node-$1.ini"
}

# replace I: kill node I and start another process in its place.
replace() {
  eval "kill -KILL \$NODE_$1" 2> /dev/null || true
  eval "wait \$NODE_$1" 2> /dev/null || true
  settings "$1"
  "$BIN/bambootallyd" --settings "$OUT/node-$1.ini" 2>> "$OUT/node-$1.log" &
  eval "NODE_$1=$!"
  PIDS="$PIDS $!"
}

# value I NAME: print number NAME from the status of node I, or 0.
value() {
  v=$(timeout 3 "$BIN/bambootally" --node "$(deploy_front "$1")" status \
    2> /dev/null | sed -n "s/.*\"$2\":\([0-9]*\).*/\1/p")
  echo "${v:-0}"
}

# wait_all NAME LEAST SECONDS: wait up to SECONDS until number NAME is at least
# LEAST at all nodes.
wait_all() {
  left=$(($3 * 4))
  while [ "$left" -gt 0 ]; do
    low=0
    for i in 1 2 3 4 5 6 7 8 9; do
      [ "$(value $i "$1")" -ge "$2" ] || low=1
    done
    [ "$low" = 1 ] || return 0
    sleep 0.25
    left=$((left - 1))
  done
  echo "FAILED: $1 is not $2 everywhere"
  return 1
}

# publish FILE: publish configuration FILE and print its log offset.
publish() {
  timeout 15 "$BIN/bambootally" --node "$(deploy_front 1)" --log "$LOG" \
    --author state --json publish "$1" | sed -n 's/.*"offset":\([0-9]*\).*/\1/p'
}

deploy_start wales 20
SEEDS=$(sed -n 's/^peer = //p' examples/wales/node-1.ini examples/wales/node-5.ini \
  | paste -sd, -)
sleep 1
publish examples/wales/config.ini > /dev/null
deploy_wait_owner enquiry-desk plan-1042 30

echo "== every node is replaced in turn; the log retains 60 records"
for i in 1 2 3 4 5 6 7 8 9; do
  replace "$i"
  sleep 1
done
set_log retain=60
deploy_wait_owner enquiry-desk plan-1042 30
sed 's/timeout-ms = 3000/timeout-ms = 2500/' examples/wales/config.ini \
  > "$OUT/second.ini"
second=$(publish "$OUT/second.ini")
wait_all config "$second" 13
n=0
while [ "$n" -lt 12 ]; do
  n=$((n + 1))
  sed "s/timeout-ms = 3000/timeout-ms = $((2500 + n))/" \
    examples/wales/config.ini > "$OUT/last.ini"
  last=$(publish "$OUT/last.ini")
done
wait_all config "$last" 13
wait_all snapshot 1 20

echo "== the log goes down, every node is replaced, the log comes back"
set_log outage-ms=12000
for i in 1 2 3 4; do replace "$i"; done
wait_all config "$last" 10
echo "in force everywhere at $last with the log down"
for i in 5 6 7 8 9; do replace "$i"; done
wait_all config "$last" 10
deploy_wait_owner enquiry-desk plan-1042 60
wait_all config "$last" 13

loads=$(cat "$OUT"/node-*.log | grep -c "name=snapshot-loaded")
echo "== all nodes are killed at once and start from the log alone"
for i in 1 2 3 4 5 6 7 8 9; do eval "kill -KILL \$NODE_$i"; done
sleep 0.5
SEEDS=127.0.0.1:1
for i in 1 2 3 4 5 6 7 8 9; do replace "$i" 2> /dev/null; done
wait_all config "$last" 13
deploy_wait_owner enquiry-desk plan-1042 60
sleep 1
timeout 15 "$BIN/bambootally" --node "$(deploy_front 1)" digest | tail -1
now=$(cat "$OUT"/node-*.log | grep -c "name=snapshot-loaded")
echo "snapshots loaded in that start: $((now - loads)), by 9 nodes"
[ $((now - loads)) -ge 9 ]
grep -h "name=snapshot-" "$OUT"/node-*.log | sed 's/.*name=\([a-z-]*\).*/\1/' \
  | sort | uniq -c
echo "state: holds"
