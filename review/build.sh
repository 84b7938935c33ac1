#!/bin/sh
# Builds the stand-ins that the scripts start. All of them are in review/lib/stand.py and in the
# case.py of each case, run by the Python that scripts/ of this repository need too.
set -eu
cd "$(dirname "$0")"
for f in lib/stand.py */case.py; do
	python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$f"
done
