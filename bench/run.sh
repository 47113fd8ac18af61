#!/bin/sh
# Run the benches and write out/bench/report.md.
# Usage: bench/run.sh BUILD-FOLDER [SEED]
set -eu
b=$1
seed=${2:-1}
out=out/bench
mkdir -p "$out"
{
  echo "# Bench of $(git rev-parse --short HEAD), seed $seed"
  echo
  echo "## Placement"
  echo
  "$b/bench_place" "$seed"
  echo
  echo "## Plans, by members"
  echo
  "$b/bench_plan"
  echo
  echo "## Lease, by nodes"
  echo
  "$b/bench_lease"
  echo
  echo "## View, by nodes"
  echo
  "$b/bench_fold"
  echo
  echo "## Speed of a node, by connections"
  echo
  sh bench/speed.sh "$b" 5000
} | tee "$out/report.md"
