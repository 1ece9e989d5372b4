#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/mangopost-entry ] && [ -x target/review-standin-2 ] || { echo "build first: deploy/system.toml, review/build-2.sh"; exit 2; }
exec target/review-standin-2 late-merge review/6/record.txt
