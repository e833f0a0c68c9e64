#!/bin/sh
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0: the same without the disruption. Before: cargo build --release && sh review/build.sh
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/release/slatevalve ] || [ ! -x target/review/lab ]; then
    echo "could not run: build first"
    exit 2
fi
exec target/review/lab assigned-id review/3/record.txt
