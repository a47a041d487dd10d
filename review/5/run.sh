#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/lanegate ] && [ -x target/review-2/case-5 ] || exit 2
target/review-2/case-5 &
child=$!
trap 'kill $child 2>/dev/null; exit 2' TERM INT HUP
wait $child
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
