#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't
# run. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.." || exit 2
runner=target/review-2/removed_after_cuts
[ -x "$runner" ] && [ -x target/platform/figplank_sidecar ] || exit 2
exec timeout -s KILL 115 "$runner" review/9/record.txt
