#!/bin/sh
# Runs the case; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
export PYTHONDONTWRITEBYTECODE=1
python3 "$(dirname "$0")/case.py" &
case=$!
trap 'kill -TERM $case 2>/dev/null' TERM INT HUP
wait $case
code=$?
# A signal ends the wait before the case has ended its processes.
if [ $code -gt 128 ]; then
    wait $case
    code=2
fi
case $code in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
