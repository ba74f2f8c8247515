#!/bin/sh
# Prepares what the scripts of cases 6 to 10 start besides the programs of the deploy file: stand-ins
# in Python 3 of the standard library, which need no build. Checks that they can be read.
cd "$(dirname "$0")" || exit 1
command -v python3 > /dev/null || { echo 'python3 is missing'; exit 1; }
PYTHONDONTWRITEBYTECODE=1 python3 - <<'PY'
import ast, glob
for path in sorted(glob.glob("stand_ins_2/*.py")) + sorted(glob.glob("[6-9]/*.py") + glob.glob("10/*.py")):
    ast.parse(open(path).read(), path)
    print("ready:", path)
PY
