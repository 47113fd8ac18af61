#!/bin/sh
# How long a key is unavailable, with real processes: the longest time between
# two complete answers for one key while its owner shuts down gracefully, is
# killed, or is killed while the log is down.  Each case starts its own
# deployment.
# Usage: bench/unavailable.sh BUILD-FOLDER DEPLOYMENT
set -eu
BIN=$1
NAME=$2
OUT=out/bench/unavailable
PROBE_SECONDS=7
. examples/deploy.sh
trap deploy_stop EXIT

case $NAME in
  wales) service=enquiry-desk path=/plans slots=20 ;;
  *) service=menu path=/menus slots=5 ;;
esac
key=key-1

# now_ms: the wall clock in milliseconds.
now_ms() { echo $(($(date +%s%N) / 1000000)); }

# owner: print the number of the host whose server owns the key.
owner() {
  server=$("$BIN/bambootally" --node "$(deploy_front 9)" \
    explain "$service" "$key" | sed -n 's/.*"server":"\([^"]*\)".*/\1/p')
  sed -n "s/^\([0-9]*\) $server .*/\1/p" "$DEPLOY/hosts"
}

# inject_failure CASE I: stop or kill the processes of host I as CASE says.
inject_failure() {
  eval "node=\$NODE_$2 server=\$SERVER_$2"
  case $1 in
    leave) kill -TERM "$node" ;;
    loss) kill -KILL "$node" "$server" ;;
    loss-log-down)
      kill -STOP "$log_pid"
      sleep 1
      kill -KILL "$node" "$server"
      ;;
  esac
}

# longest_gap: request the key for PROBE_SECONDS and print the longest time
# between two complete answers, in milliseconds.
longest_gap() {
  last_answer_at=$(now_ms)
  end=$((last_answer_at + PROBE_SECONDS * 1000))
  longest=0
  now=$last_answer_at
  while [ "$now" -lt "$end" ]; do
    ok=0
    "$BIN/standin_caller" --node "$(deploy_front 9)" --path "$path/$key" \
      --timeout 300 --quiet > /dev/null && ok=1
    now=$(now_ms)
    gap=$((now - last_answer_at))
    [ "$gap" -le "$longest" ] || longest=$gap
    [ "$ok" = 0 ] || last_answer_at=$now
  done
  echo "$longest"
}

# run_case CASE: run CASE on a new deployment and print a table row.
run_case() {
  rm -rf "$OUT"
  deploy_start "$NAME" "$slots"
  log_pid=$(echo "$PIDS" | awk '{ print $1 }')
  sleep 1
  deploy_publish "examples/$NAME/config.ini" > /dev/null
  deploy_wait_owner "$service" "$key" 20
  sleep 2
  inject_failure "$1" "$(owner)"
  echo "| $NAME | $1 | $(longest_gap) |"
  deploy_stop 2> /dev/null
}

echo "| deployment | case | unavailable, ms |"
echo "|---|---|---|"
run_case leave
run_case loss
run_case loss-log-down
