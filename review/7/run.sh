#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. TROUBLE=0: the same without the disruption.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/review-2/case-7 ] || exit 2
timeout -k 3 115 ../../target/review-2/case-7
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
