#!/bin/sh
# Plays case 2. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could
# not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/mangopost-entry ] || [ ! -x target/review/reviewcase ]; then
	echo "build first: the build line of deploy/system.toml, then review/build.sh" >&2
	exit 2
fi
exec target/review/reviewcase reborn review/2
