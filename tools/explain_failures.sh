#!/usr/bin/env bash
# Follows failed requests to their causes: takes their ids from a report or a list of them, and the
# lines from logs. Prints a sentence for each, and how many ids led to the line that tells the end.
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
# Ids without an end give exit code 4, which is a result here.
answers="$("$ctl" explain "${ids[@]}" --brief --logs "$@" || (($? == 4)))"
echo "$answers"
without="$(grep -cE ': No (line is about|node wrote)' <<<"$answers" || true)"
echo "$((${#ids[@]} - without)) of ${#ids[@]} ids led to a cause"
