#!/bin/sh
# Short runs of the soak with the seeds that ever failed, and one more.
# Usage: soak/run.sh BUILD-FOLDER
b=${1:-build/release}
cd "$(dirname "$0")/.." || exit 1
# Seeds that failed once, each with its cause; see docs/PROOFS.md.
seeds="1"
status=0
for seed in $seeds
do
  "$b/soak" --seed "$seed" --seconds 15 --program "$b/bambootally_mesh" || status=1
done
exit $status
