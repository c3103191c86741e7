#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-3/case-13
[ -x "$program" ] && [ -x target/daemon/jaydoord ] || exit 2
exec timeout 110 "$program" target/daemon/jaydoord review/13/record.txt
