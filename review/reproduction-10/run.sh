#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# the disruptions out. The argument is the seed (0), the second one the time in seconds (60). KEEP=1
# keeps the nodes' logs in the temporary folder. Needs the build of the deploy file and
# review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/siskinhook target/review/release/review-standin; do
    [ -x "$program" ] || { echo "missing: $program" >&2; exit 2; }
done
# The shell's own SECONDS counts its run time.
exec env SEED="${1:-${SEED:-0}}" SECONDS="${2:-60}" \
    target/review/release/review-standin drawn review/reproduction-10/record.txt
