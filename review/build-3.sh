#!/bin/sh
# Checks the stand-ins of review 3, which are interpreted: nothing has to be compiled and nothing is fetched.
cd "$(dirname "$0")" || exit 1
exec python3 -B - lib3/*.py 9/case.py 10/case.py 11/case.py 12/case.py 13/case.py <<'EOF'
import sys
assert sys.version_info >= (3, 11), "python3 3.11 or newer is required"
for path in sys.argv[1:]:
    compile(open(path).read(), path, "exec")
EOF
