#!/bin/sh
# Builds what the scripts of review/4 to review/8 start beside the deploy file's program: their
# stand-ins are Python (standard library only), which is only checked here.
set -e
cd "$(dirname "$0")/.."
python3 - <<'PY'
import glob, sys
assert sys.version_info >= (3, 9), "python3 3.9 or newer is needed"
for path in ["review/stand2.py"] + sorted(glob.glob("review/[4-8]/case.py")):
    compile(open(path).read(), path, "exec")
PY
