#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# the disruption out.
set -u
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.."
for program in target/bin/savorywheel-platform-node target/review/stop_cuts; do
    if [ ! -x "$program" ]; then
        echo "$program is not built" >&2
        exit 2
    fi
done
timeout -s KILL 115 target/review/stop_cuts "$folder/record.txt"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
