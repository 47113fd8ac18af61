#!/bin/sh
# Builds the programs of the review's scripts into target/review.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-9]/case.c; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  ${CC:-gcc} -std=gnu11 -D_GNU_SOURCE -O1 -g -Wall -Wextra -Ireview/rig \
    "$source" review/rig/rig.c -o "target/review/case$number" -lpthread
done
