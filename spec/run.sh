#!/bin/sh
# Check every model exhaustively with spin, then once for each switch, which
# turns one rule off and must violate the model's property.  Prints one line a
# run; exit status 0 if every run had the expected result.  Build files go to
# build/spec.
# Usage: spec/run.sh
cd "$(dirname "$0")/.." || exit 1
out=build/spec
jobs=4
depth=1000000

# Each model, with the switches that turn its rules off.
plan="move RULE1_OFF RULE2_OFF RULE3_OFF RULE4_OFF STICKY RECEIVER_TAKES RETIRE_RULE_OFF
lease FROM_RECEIPT CACHED DRIFT_OFF NO_WAIT SHORTEST FORGET RESTART_SAME MINORITY
successors RULE2_OFF FLOOR_OFF BY_FLOOR
takeover CHAIN_OFF RULE3_OFF FIRST_ONLY LAPSE_OFF FOLDED_OFF
witness_set JOINT_OFF LEFTOVER FLOOR_OFF NEW_ONLY RESTART_SAME STALE_OFF
once STAMP_OFF MEMORY_OFF HORIZON_OFF RESTAMP GRANT_ONLY RETRY_UNKNOWN
outbox BASE_OFF EPOCH_OFF ANSWER BACKWARDS
call_grant SAME_FENCE NO_ANSWER EARLY"

# check_one MODEL SWITCH: check MODEL with SWITCH, or without one if it is `-',
# and write the line of the result to build/spec/MODEL.SWITCH/line.
check_one ()
{
  model=$1
  switch=$2
  dir=$out/$model.$switch
  rm -rf "$dir"
  mkdir -p "$dir"
  cp "spec/$model.pml" "$dir/"
  flag=""
  [ "$switch" = - ] || flag="-D$switch"
  line=$(printf '%-12s %-16s' "$model" "$switch")
  if ! (cd "$dir" && spin $flag -a "$model.pml" >spin.txt 2>&1 &&
        cc -O2 -w -DSAFETY -DMEMLIM=4000 -o pan pan.c >cc.txt 2>&1)
  then
    echo "$line FAILED: does not build" >"$dir/line"
    return
  fi
  (cd "$dir" && ./pan -E -m$depth >pan.txt 2>&1)
  states=$(sed -n 's/^ *\([0-9]*\) states, stored.*/\1/p' "$dir/pan.txt")
  reached=$(sed -n 's/.*depth reached \([0-9]*\),.*/\1/p' "$dir/pan.txt")
  errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' "$dir/pan.txt")
  at=$(sed -n 's/^pan:1: assertion violated.*(at depth \([0-9]*\)).*/\1/p' \
    "$dir/pan.txt")
  figures="states $states depth $reached"
  if [ "$switch" = - ]
  then
    if [ "$errors" = 0 ] &&
       ! grep -qE 'too small|not completed|out of memory|hash-compact|bit state' \
         "$dir/pan.txt"
    then
      verdict="holds"
    else
      verdict="FAILED: errors $errors or search not complete"
    fi
  elif [ "$errors" = 1 ] && [ -n "$at" ]
  then
    verdict="breaks as it must, at depth $at"
  else
    verdict="FAILED: no violation found"
  fi
  echo "$line $figures: $verdict" >"$dir/line"
}

if [ $# = 2 ]
then
  check_one "$1" "$2"
  exit 0
fi
command -v spin >/dev/null || { echo "model: spin is not installed"; exit 1; }
mkdir -p $out
runs=$(echo "$plan" | while read -r model switches
  do
    for switch in - $switches
    do
      echo "$model $switch"
    done
  done)
echo "$runs" | xargs -P $jobs -L 1 sh spec/run.sh
failed=0
for run in $(echo "$runs" | tr ' ' '.')
do
  cat "$out/$run/line"
  grep -q FAILED "$out/$run/line" && failed=$((failed + 1))
done
echo "models: $(echo "$plan" | wc -l), runs: $(echo "$runs" | wc -l), failed: $failed"
[ $failed = 0 ]
