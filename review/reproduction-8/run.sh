#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# the disruption out, CRASH=0 lets the second replica receive nothing instead of crashing. Needs the
# build of the deploy file and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/siskinhook target/review/release/review-standin; do
    [ -x "$program" ] || { echo "missing: $program" >&2; exit 2; }
done
exec target/review/release/review-standin alone review/reproduction-8/record.txt
