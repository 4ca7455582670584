#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption. Writes record.txt in this folder.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/review-rig-2 ] || exit 2
TROUBLE="${TROUBLE:-1}" exec target/review-rig-2 revoke "$folder/record.txt"
