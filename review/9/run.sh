#!/bin/sh
# A version with a long host name moves a route.
exec sh "$(dirname "$0")/../rig-2/run.sh" 9 config
