#!/bin/sh
# Builds the stand-ins of review/6 and later into build/review-2.
set -e
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for name in entry download poison config foreign uploads
do
  "${CC:-gcc}" -std=gnu11 -O2 -g -Wall -Wextra -Werror -D_GNU_SOURCE -pthread \
    -o "build/review-2/$name" review/rig-2/rig.c "review/rig-2/$name.c"
done
