#!/bin/sh
# run.sh CASE PROGRAM ARGUMENTS: runs a program of build/review-2 for the case
# review/CASE and writes its record.txt; without that folder it writes none.
# Exits with 0 if the rule held, 1 if it was broken, 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
case=$1
program=$2
shift 2
if [ ! -x "build/review-2/$program" ] \
  || [ ! -x target/release/bambootally_mesh ]
then
  echo "build first: the deploy file's command, and review/build-2.sh"
  exit 2
fi
folder=$(mktemp -d) || exit 2
record=/dev/null
[ -d "review/$case" ] && record=review/$case/record.txt
RIG_DIR=$folder RECORD=$record \
  timeout -k 2 115 "build/review-2/$program" "$@"
status=$?
rm -rf "$folder"
[ $status -le 2 ] || status=2
exit $status
