#!/usr/bin/env bash
# Explains failed requests: reads their ids from a report or a list and looks them up in logs.
# Prints one sentence per request, and for how many of them the logs show the cause.
set -euo pipefail
if (($# < 2)); then
    echo "usage: tools/explain_failures.sh REPORT LOG..." >&2
    exit 2
fi
report="$1"
shift
ctl="$(dirname "$0")/../${BUILD_DIR:-build}/bin/savorywheelctl"
mapfile -t ids < <(grep -oE 'request [0-9a-f]{16}' "$report" | cut -d' ' -f2 | sort -u)
if ((${#ids[@]} == 0)); then
    echo "$report: no ids of requests" >&2
    exit 2
fi
# Exit code 4 means that the end of some request was not found, which is no error here.
answers="$("$ctl" explain "${ids[@]}" --brief --logs "$@" || (($? == 4)))"
echo "$answers"
without="$(grep -cE ': No (line is about|node wrote)' <<<"$answers" || true)"
echo "$((${#ids[@]} - without)) of ${#ids[@]} ids led to a cause"
