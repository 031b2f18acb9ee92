#!/usr/bin/env bash
# Builds what the scripts of this folder start besides the program of the deploy file: nothing needs
# compiling, as all stand-ins are Python and use its standard library alone. Checks that they can be read.
cd "$(dirname "$0")" || exit 2
command -v python3 > /dev/null || { echo "the stand-ins need python3" >&2; exit 2; }
python3 - standin/*.py */case.py <<'P'
import ast, sys
for name in sys.argv[1:]:
    with open(name) as f:
        ast.parse(f.read(), name)
P
