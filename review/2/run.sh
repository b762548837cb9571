#!/bin/sh
# Writes what was sent, answered and run to record.txt in this folder.
# Exit status: 1 the rule was broken, 0 it held, 2 the case couldn't run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
: > record.txt || exit 2
if ! command -v python3 > /dev/null; then
  echo "could not run: no python3" | tee record.txt
  exit 2
fi
RECORD="$PWD/record.txt" PYTHONDONTWRITEBYTECODE=1 exec python3 run.py
