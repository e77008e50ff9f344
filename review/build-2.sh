#!/usr/bin/env bash
# The stand-ins of the second review (review/lib2) are Python 3.11 programs of the standard library only. Nothing
# is compiled; this checks that they can be run.
set -euo pipefail
cd "$(dirname "$0")/lib2"
python3 - <<'P'
import ast, sys
assert sys.version_info >= (3, 11), "Python 3.11 or newer is needed"
for name in ("cell.py", "store.py", "wire.py", "workers.py"):
    ast.parse(open(name).read(), name)
P
echo "stand-ins of review/lib2: ready"
