#!/bin/sh
# Runs the case; TROUBLE=0 leaves the disruption out. Writes record.txt beside this script.
# Exit code: 0 the rule held, 1 it was broken, 2 the case couldn't run.
cd "$(dirname "$0")" || exit 2
python=../../.venv/bin/python
test -x $python || { echo "run the build of the deploy file first" >&2; exit 2; }
PYTHONPATH=../common $python -B case.py &
case=$!
trap 'kill $case; wait $case; exit 2' INT TERM
wait $case
code=$?
case $code in
    0) exit 0 ;;
    3) exit 1 ;;
    *) exit 2 ;;
esac
