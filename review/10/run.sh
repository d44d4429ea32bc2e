#!/usr/bin/env bash
# See claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/trial-10 ] && [ -x target/bin/savorywheel-platform-node ] || exit 2
# TROUBLE=0 leaves the disruption out; the trial reads it.
export TROUBLE="${TROUBLE:-1}"
set -m
timeout 110 target/review-2/trial-10 &
trial=$!
wait "$trial"
result=$?
kill -KILL -- "-$trial" 2>/dev/null
[ "$result" -le 1 ] || result=2
exit "$result"
