# Functions that start and stop a deployment on this machine; sourced by the
# demo and the scenarios.  BIN is the build folder, OUT a scratch folder.

# deploy_start NAME SLOTS: the log, servers and nodes of examples/NAME.
deploy_start() {
  DEPLOY=examples/$1
  BASE=$(sed -n 's/^address = 127.0.0.1://p' "$DEPLOY/node-1.ini")
  LOG=127.0.0.1:$BASE
  mkdir -p "$OUT"
  PIDS=""
  "$BIN/standin_log" --listen "$LOG" &
  PIDS="$PIDS $!"
  while read -r i name front server; do
    "$BIN/bambootallyd" --settings "$DEPLOY/node-$i.ini" \
      2>> "$OUT/node-$i.log" &
    eval "NODE_$i=$!"
    PIDS="$PIDS $!"
    "$BIN/standin_server" --listen "$server" --node "$front" --name "$name" \
      --slots "$2" --run-ms 2 --record "$OUT/server-$i.rec" &
    eval "SERVER_$i=$!"
    PIDS="$PIDS $!"
  done < "$DEPLOY/hosts"
}

# deploy_front I: the front of node I.
deploy_front() {
  sed -n "s/^$1 [^ ]* \([^ ]*\) .*/\1/p" "$DEPLOY/hosts"
}

# deploy_publish FILE: publish a configuration through node 1.
deploy_publish() {
  "$BIN/bambootally" --node "$(deploy_front 1)" --log "$LOG" \
    --author demo publish "$1"
}

# deploy_wait_owner SERVICE KEY SECONDS: wait until the key has an owner and
# every node has joined and holds its lease.
deploy_wait_owner() {
  left=$(($3 * 5))
  while [ "$left" -gt 0 ]; do
    if "$BIN/bambootally" --node "$(deploy_front 1)" explain "$1" "$2" \
        2>/dev/null | grep -q '"why":"assigned"' && deploy_leases; then
      return 0
    fi
    sleep 0.2
    left=$((left - 1))
  done
  return 1
}

# deploy_leases: whether every node holds its lease.
deploy_leases() {
  while read -r i name front server; do
    "$BIN/bambootally" --node "$front" status 2>/dev/null \
      | grep -q '"lease_held":true' || return 1
  done < "$DEPLOY/hosts"
}

# deploy_stop: stop every process that was started.
deploy_stop() {
  for p in $PIDS; do
    kill -KILL "$p" 2>/dev/null || true
  done
  wait 2>/dev/null || true
}
