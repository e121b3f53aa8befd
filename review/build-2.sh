#!/bin/sh
# The stand-ins of cases 4 to 8 are review/cell2.py, which python3 runs as it is: this only checks that it can.
set -e
cd "$(dirname "$0")"
python3 - <<'P'
import ast
for name in ("cell2.py", "4/case.py", "5/case.py", "6/case.py", "7/case.py", "8/case.py"):
    ast.parse(open(name).read(), name)
P
echo "the stand-ins of cases 4 to 8 need no build"
