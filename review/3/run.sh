#!/bin/sh
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves the disruption out.
timeout -k 5 115 python3 -B "$(dirname "$0")/case.py" &
child=$!
trap 'kill -TERM "$child" 2>/dev/null' TERM INT
while :; do
    wait "$child"
    code=$?
    kill -0 "$child" 2>/dev/null || break
done
case $code in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
