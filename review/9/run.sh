#!/bin/sh
# A version with a long host name moves a route.
# TROUBLE=0 leaves the disruption out; review/rig-2/rig.c reads it.
TROUBLE=${TROUBLE:-1}
export TROUBLE
exec sh "$(dirname "$0")/../rig-2/run.sh" 9 config
