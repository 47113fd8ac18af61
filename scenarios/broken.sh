#!/bin/sh
# Test that the scenarios detect broken rules: in a copy of the tree, disable
# one decision rule at a time and run a scenario that must then fail.
# Usage: scenarios/broken.sh
cd "$(dirname "$0")/.." || exit 1
copy=build/broken
rm -rf $copy
mkdir -p $copy
cp -r Makefile src scenarios standins $copy/
cd $copy || exit 1
make -j4 build/release/scenario >make.txt 2>&1 || { cat make.txt; exit 1; }
failed=0

# disable_rule NAME FILE SED-EXPRESSION SCENARIO: disable the rule in FILE and
# expect SCENARIO to fail.
disable_rule ()
{
  cp "$2" saved.c
  sed -i "$3" "$2"
  if cmp -s saved.c "$2"
  then
    verdict="FAILED: the rule was not found in $2"
  elif ! make -j4 build/release/scenario CC="gcc -Wno-error" >make.txt 2>&1
  then
    verdict="FAILED: does not build"
  elif line=$(timeout 120 build/release/scenario "scenarios/$4.scn" 2>&1)
  then
    verdict="FAILED: $4 still passes"
  else
    verdict="$4: ${line##*FAILED: }"
  fi
  cp saved.c "$2"
  case $verdict in FAILED*) failed=$((failed + 1)) ;; esac
  printf '%-28s %s\n' "$1" "$verdict"
}

disable_rule lease-never-lapses src/decide/lease.c \
  's/return now < lease->expires_at;/return now > 0 \&\& lease->expires_at > 0;/' \
  owner-freeze
disable_rule certificate-at-once src/decide/removal.c \
  's/|| now < sum.expires_at/|| now < 0/' owner-cut-node
disable_rule witness-forgets-promise src/decide/witness.c \
  's/ack->has_promised = TRUE;/ack->has_promised = FALSE;/' \
  owner-freeze-log-down
disable_rule once-forgets src/decide/dedup.c \
  's/^  g_hash_table_insert (dedup->index.*//' once-kill
disable_rule config-base-unchecked src/decide/apply_config.c \
  's/if (body->base_offset != view->config_offset)/if (FALSE)/' config-kill
disable_rule leaving-unheard src/decide/apply_node.c \
  's/node->state = NODE_LEAVING;/;/' leaving-kill
disable_rule unknown-told-not-run src/decide/reply.c \
  's/return OUTCOME_UNKNOWN;/return OUTCOME_NOT_RUN;/' \
  notrun-kill-twice-log-down
echo "rules disabled: $failed not detected"
[ $failed = 0 ]
