#!/bin/sh
# Requests per second of CPU time: a bare SoupServer, a node that owns the key,
# and a node that forwards one hop.  Only the CPU time of the measured process
# counts, so other load on the machine has little effect.
# Usage: bench/speed.sh BUILD-FOLDER COUNT
set -eu
BIN=$1
COUNT=$2
OUT=out/bench/speed
rm -rf "$OUT"
. examples/deploy.sh
trap deploy_stop EXIT

# cpu_ticks PID: CPU time of process PID in clock ticks.
cpu_ticks() { awk '{ print $14 + $15 }' "/proc/$1/stat"; }

# measure NAME PID ADDRESS PATH PARALLEL: request PATH from ADDRESS over
# PARALLEL connections and print a table row for process PID.
measure() {
  before=$(cpu_ticks "$2")
  result=$("$BIN/standin_caller" --node "$3" --path "$4" --count "$COUNT" \
    --parallel "$5" --quiet) || true
  after=$(cpu_ticks "$2")
  ticks=$((after - before))
  rate=$((COUNT * $(getconf CLK_TCK) / (ticks > 0 ? ticks : 1)))
  [ "$1" != bare ] || bare=$rate
  rss=$(awk '/^VmRSS/ { print $2 }' "/proc/$2/status")
  echo "| $1 | $5 | $rate | $(awk "BEGIN { printf \"%.2f\", $rate / $bare }")" \
    "| $rss | $result |"
}

# key_of HOST: print a key whose owner is the server on HOST.
key_of() {
  i=1
  while [ "$i" -lt 100 ]; do
    if "$BIN/bambootally" --node "$(deploy_front 1)" explain enquiry-desk \
        "plan-$i" | grep -q "\"host\" *: *\"$1\""; then
      echo "plan-$i"
      return
    fi
    i=$((i + 1))
  done
}

deploy_start wales 20
port=$((BASE + 90))
"$BIN/bench_bare" "$port" &
bare_pid=$!
PIDS="$PIDS $bare_pid"
sleep 1
deploy_publish examples/wales/config.ini > /dev/null
deploy_wait_owner enquiry-desk plan-1 30
sleep 2
front=$(deploy_front 1)
own=$(key_of caerdydd-enquiry-desk)
other=$(key_of abertawe-enquiry-desk)
echo "| process | connections | requests a core-second | of bare | RSS, KiB |" \
  "caller saw |"
echo "|---|---|---|---|---|---|"
for parallel in 4 16 64; do
  measure bare "$bare_pid" "127.0.0.1:$port" /x "$parallel"
  measure "own key" "$NODE_1" "$front" "/plans/$own" "$parallel"
  measure "one hop" "$NODE_1" "$front" "/plans/$other" "$parallel"
done
