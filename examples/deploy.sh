# Functions that start and stop a deployment on this machine, sourced by the
# demo, the benchmarks and the scenarios.  The caller sets BIN, the build
# folder, and OUT, a scratch folder.

# deploy_start NAME SLOTS: start the log, and the servers (SLOTS slots each)
# and nodes of examples/NAME.  Sets BASE, the log's port; LOG, its address;
# PIDS, all process ids, the log's first; NODE_I and SERVER_I, those of host I.
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

# deploy_front I: print the address where node I accepts requests.
deploy_front() {
  sed -n "s/^$1 [^ ]* \([^ ]*\) .*/\1/p" "$DEPLOY/hosts"
}

# deploy_publish FILE: publish a configuration through node 1.
deploy_publish() {
  "$BIN/bambootally" --node "$(deploy_front 1)" --log "$LOG" \
    --author demo publish "$1"
}

# deploy_wait_owner SERVICE KEY SECONDS: wait until KEY has an owner and every
# node has joined and holds its lease; fail after SECONDS.
deploy_wait_owner() {
  polls_left=$(($3 * 5)) # one every 0.2 s
  while [ "$polls_left" -gt 0 ]; do
    if "$BIN/bambootally" --node "$(deploy_front 1)" explain "$1" "$2" \
        2>/dev/null | grep -q '"why":"assigned"' && deploy_leases; then
      return 0
    fi
    sleep 0.2
    polls_left=$((polls_left - 1))
  done
  return 1
}

# deploy_leases: succeed if every node holds its lease.
deploy_leases() {
  while read -r i name front server; do
    "$BIN/bambootally" --node "$front" status 2>/dev/null \
      | grep -q '"lease_held":true' || return 1
  done < "$DEPLOY/hosts"
}

# deploy_stop: kill every process that deploy_start started.
deploy_stop() {
  for p in $PIDS; do
    kill -KILL "$p" 2>/dev/null || true
  done
  wait 2>/dev/null || true
}
