#!/bin/sh
# Plays the case many-ends; see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/damaskspread ] && [ -x target/review-world-2 ] || exit 2
exec target/review-world-2 -case many-ends -record review/6/record.txt
