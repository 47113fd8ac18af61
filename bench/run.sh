#!/bin/sh
# Run the benchmarks and write the report with its plots to
# out/bench/report.md.  Without PART, run all parts.
# Usage: bench/run.sh BUILD-FOLDER [SEED [PART...]]
set -eu
b=$1
seed=${2:-1}
[ $# -lt 2 ] && shift || shift 2
[ $# -gt 0 ] || set -- place plan lease fold speed overload unavailable
out=out/bench
mkdir -p "$out"

# part NAME: run part NAME and print its section of the report.
part() {
  case $1 in
    place) title="Placement" ;;
    plan) title="Plans, by members" ;;
    lease) title="Lease, by nodes" ;;
    fold) title="View, by nodes" ;;
    speed) title="Speed of a node, by connections" ;;
    overload) title="Overload, by callers" ;;
    unavailable) title="Time without an answer" ;;
    *) echo "bench: unknown part: $1" >&2; exit 2 ;;
  esac
  printf '\n## %s\n\n' "$title"
  case $1 in
    place) "$b/bench_place" "$seed" ;;
    speed) sh bench/speed.sh "$b" 5000 ;;
    overload) sh bench/overload.sh "$b" 6 ;;
    unavailable)
      sh bench/unavailable.sh "$b" wales
      sh bench/unavailable.sh "$b" yogyakarta
      ;;
    *) "$b/bench_$1" ;;
  esac
}

{
  echo "# Bench of $(git rev-parse --short HEAD), seed $seed"
  for name in "$@"; do
    part "$name"
  done
} | tee "$out/report.md"
"$b/bench_plot" "$out" < "$out/report.md" > "$out/plots.md"
{
  printf '\n## Plots\n\n'
  cat "$out/plots.md"
} >> "$out/report.md"
rm "$out/plots.md"
