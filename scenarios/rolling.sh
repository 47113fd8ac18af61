#!/bin/sh
# Rolling restart of all nodes under load: each node in turn is stopped with
# SIGTERM and started again after it has exited, while callers send idempotent
# and run-once requests and an upload through other nodes.  No request may be
# interrupted.
# Usage: scenarios/rolling.sh BUILD-FOLDER
set -u
BIN=$1
OUT=out/rolling
rm -rf "$OUT"
. examples/deploy.sh
trap deploy_stop EXIT
SECONDS_PER_NODE=9
cut=0

# call NAME NODE ARGUMENTS...: start a caller at NODE in the background.
call() {
  name=$1
  front=$(deploy_front "$2")
  shift 2
  "$BIN/standin_caller" --node "$front" --seconds $SECONDS_PER_NODE \
    --timeout 8000 "$@" > "$OUT/$name.out" &
  CALLERS="$CALLERS $!"
}

# totals NAME: print the totals of a caller, and count the caller if one of its
# requests was interrupted.
totals() {
  line=$(tail -1 "$OUT/$1.out")
  echo "  $1: $line"
  case $line in
    *" unknown=0 broken=0 crossed=0 "*) ;;
    *) cut=$((cut + 1)) ;;
  esac
}

# restart I: stop node I gracefully, wait until it has exited, and start it.
restart() {
  eval "node=\$NODE_$1"
  begin=$(date +%s%N)
  kill -TERM "$node"
  while kill -0 "$node" 2>/dev/null; do
    sleep 0.05
  done
  echo "node $1 left after $((($(date +%s%N) - begin) / 1000000)) ms"
  "$BIN/bambootallyd" --settings "$DEPLOY/node-$1.ini" \
    2>> "$OUT/node-$1.log" &
  eval "NODE_$1=$!"
  PIDS="$PIDS $!"
}

deploy_start wales 20
sleep 1
deploy_publish examples/wales/config.ini || exit 1
deploy_wait_owner enquiry-desk plan-1 30
for n in 1 2 3 4 5 6 7 8 9; do
  other=$((n % 9 + 1))
  third=$((other % 9 + 1))
  CALLERS=""
  call "any-$n" $other --path "/plans/plan-%" --keys 100 --parallel 4 --pause 2
  call "once-$n" $third --path "/plans/plan-%" --keys 100 --parallel 4 \
    --pause 2 --method POST
  call "payment-$n" $other --path "/payments/p" --parallel 2 --pause 2 \
    --method POST
  call "upload-$n" $third --path "/documents/d" --method PUT \
    --upload 20000000
  sleep 1
  restart $n
  # shellcheck disable=SC2086
  wait $CALLERS
  deploy_wait_owner enquiry-desk plan-1 20
  for kind in any once payment upload; do
    totals "$kind-$n"
  done
done
echo "rolling restart: 9 nodes, $cut callers of 36 with a request cut"
records=$(for f in "$OUT"/server-*.rec; do printf ' --record %s' "$f"; done)
any=$(for f in "$OUT"/any-*.out "$OUT"/upload-*.out; do \
  printf ' --any %s' "$f"; done)
once=$(for f in "$OUT"/once-*.out "$OUT"/payment-*.out; do \
  printf ' --once %s' "$f"; done)
# shellcheck disable=SC2086
"$BIN/standin_checker" $records $any $once && [ "$cut" = 0 ]
