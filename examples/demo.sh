#!/bin/sh
# Runs one deployment on this machine and sends requests through every node.
# Usage: examples/demo.sh BUILD-FOLDER DEPLOYMENT
set -eu
BIN=$1
OUT=out/demo
rm -rf "$OUT"
. examples/deploy.sh
trap deploy_stop EXIT

case $2 in
  wales) service=enquiry-desk path=/plans key=plan-1042 ;;
  *) service=menu path=/menus key=corner-7 ;;
esac

echo "== starting the log, 9 backend servers and 9 nodes of $2"
deploy_start "$2" 20
sleep 1
echo "== publishing examples/$2/config.ini"
deploy_publish "examples/$2/config.ini"
deploy_wait_owner "$service" "$key" 30
echo "== owner of $key, and the reason"
"$BIN/bambootally" --node "$(deploy_front 1)" explain "$service" "$key"
echo "== requests for $key through every node"
answering_nodes=0
for i in 1 2 3 4 5 6 7 8 9; do
  if "$BIN/standin_caller" --node "$(deploy_front $i)" --path "$path/$key" \
      --count 20 --quiet; then
    answering_nodes=$((answering_nodes + 1))
  fi
done
"$BIN/standin_caller" --node "$(deploy_front 9)" --path "$path/$key" --count 1
echo "== log line of a routing decision at node 9, the ingress node"
grep -h "name=route-forward" "$OUT/node-9.log" | tail -1
echo "== counters of node 9"
"$BIN/bambootally" --node "$(deploy_front 9)" counters | head -5
echo "== served at $answering_nodes of 9 nodes"
[ "$answering_nodes" = 9 ]
