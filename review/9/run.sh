#!/bin/sh
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/driver ] || { echo "run review/build-2.sh first" >&2; exit 2; }
CASE_FOLDER=review/9 SLATEVALVE=target/release/slatevalve exec target/review-2/driver dropped-answers
