#!/bin/sh
# Run the benches; the report with its plots is out/bench/report.md.
# Usage: bench/run.sh BUILD-FOLDER [SEED]
set -eu
b=$1
seed=${2:-1}
out=out/bench
mkdir -p "$out"

# part TITLE COMMAND...: one part of the report.
part() {
  echo
  echo "## $1"
  echo
  shift
  "$@"
}

{
  echo "# Bench of $(git rev-parse --short HEAD), seed $seed"
  part "Placement" "$b/bench_place" "$seed"
  part "Plans, by members" "$b/bench_plan"
  part "Lease, by nodes" "$b/bench_lease"
  part "View, by nodes" "$b/bench_fold"
  part "Speed of a node, by connections" sh bench/speed.sh "$b" 5000
  part "Overload, by callers" sh bench/overload.sh "$b" 6
} | tee "$out/report.md"
"$b/bench_plot" "$out" < "$out/report.md" > "$out/plots.md"
{
  echo
  echo "## Plots"
  echo
  cat "$out/plots.md"
} >> "$out/report.md"
rm "$out/plots.md"
