#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# the disruption out, AWAY_S=30 brings the server back after 30 s instead of 66 s. Needs the build of
# the deploy file and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/siskinhook target/review/release/review-standin; do
    [ -x "$program" ] || { echo "missing: $program" >&2; exit 2; }
done
exec target/review/release/review-standin late review/reproduction-7/record.txt
