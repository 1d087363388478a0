#!/usr/bin/env bash
# Plays the case "fatal": exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. It needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/lovageshift ] && [ -x target/stand2 ] || { echo "not built"; exit 2; }
timeout --kill-after=3 115 target/stand2 -case fatal -program target/lovageshift -record review/10/record.txt
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
