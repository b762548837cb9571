#!/bin/sh
# Runs case 6; see claim.txt. Exit code 1: the rule was broken, 0: it held, 2: the case could not run.
# With TROUBLE=0 it does the same without the disruption.
TROUBLE=${TROUBLE:-1}
export TROUBLE
cd "$(dirname "$0")" || exit 2
timeout -k 3 112 python3 -B case.py
case $? in
0) exit 0 ;;
10) exit 1 ;;
*) exit 2 ;;
esac
