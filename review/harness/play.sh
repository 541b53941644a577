#!/usr/bin/env bash
# Plays the case in the folder given: exits with 1 if its rule was broken, 0 if
# it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH="$PWD/target/deps:$PWD/review/harness"
python3 "$1/play.py"
case $? in
0) exit 0 ;;
10) exit 1 ;;
*) exit 2 ;;
esac
