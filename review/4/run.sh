#!/bin/sh
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/leverdyked ] && [ -x target/review-2/cases2 ] || exit 2
RECORD="$here/record.txt" timeout -k 2 115 target/review-2/cases2 past-job
code=$?
[ $code -le 2 ] || code=2
exit $code
