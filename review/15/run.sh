#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/rosemaryloft-cell ] && [ -x target/review-3/review3 ] || { echo "build first: the build line of deploy/system.toml, then review/build-3.sh"; exit 2; }
exec target/review-3/review3 ack review/15/record.txt
