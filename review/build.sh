#!/bin/sh
# Builds the stand-ins of the cases. They are Python 3 without packages; this checks that they compile.
cd "$(dirname "$0")" || exit 2
exec python3 - <<'CHECK'
import glob
import sys

if sys.version_info < (3, 8):
    sys.exit("Python 3.8 or newer is needed")
for path in sorted(glob.glob("standin/*.py") + glob.glob("[1-5]/*.py")):
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
CHECK
