#!/usr/bin/env bash
# Checks the module boundaries: names of the platform's protocol and includes of platform/ appear only
# in platform/, platform/ stays within its size limit, and decision code doesn't use the codecs.
set -euo pipefail
cd "$(dirname "$0")/.."
most_platform_lines=1200 # Limit from docs/design/platform.md.
failed=0
report() {
    echo "$1"
    failed=1
}
names='virtual-hosts|path-rules|path-prefix|traffic-split|max-concurrency|warmup-left|target-version'
names+='|Server-Signature|Not-Executed|Expected-Instance|Caller-Service|Savorywheel-|heartbeat-addr'
if grep -rnE "$names" src apps; then
    report "names of the platform outside platform/"
fi
if grep -rnE '#include [<"](\.\./)*platform/' src apps; then
    report "includes of platform/ outside of it"
fi
lines="$(cat platform/*.[ch]pp | wc -l)"
((lines <= most_platform_lines)) || report "platform/ has $lines lines, at most $most_platform_lines"
# Decision code works on typed messages: these folders must not include the codecs.
for folder in config core routing membership rollout metrics log; do
    if grep -rn 'savorywheel/encoding/' "src/savorywheel/$folder"; then
        report "src/savorywheel/$folder depends on the encoding of messages"
    fi
done
exit "$failed"
