#!/bin/sh
# Builds the stand-ins that the scripts start. All of them are in review/stand.py and in the
# case.py of each case. They are run by Python 3, which scripts/ of this repository needs too, with
# its own library alone, so that there is nothing to compile: this checks that they can be read.
set -eu
cd "$(dirname "$0")"
for f in stand.py ./*/case.py; do
	python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$f"
done
