#!/bin/sh
# Builds the stand-ins of the second review. They need Python 3.11 and its standard library alone.
cd "$(dirname "$0")" || exit 2
python3 - <<'CHECK' || { echo "Python 3.11 or later is needed"; exit 2; }
import sys
sys.exit(sys.version_info < (3, 11))
CHECK
for file in standins-2/*.py [0-9]*/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file" || exit 2
done
