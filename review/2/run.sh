#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the disruption; everything else is the same.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/tarragongauge-platform ] && [ -x target/review-rig ] || { echo "run the build of deploy/system.toml and review/build.sh first"; exit 2; }
TROUBLE="${TROUBLE:-1}" exec target/review-rig growth review/2/record.txt
growth review/2/record.txt
