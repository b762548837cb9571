#!/bin/sh
# Exit status: 1 the rule was broken, 0 it held, 2 the case couldn't run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
CASE_DIRECTORY="$PWD" PYTHONDONTWRITEBYTECODE=1 exec python3 run.py
