#!/bin/sh
# The stand-ins are Python scripts that need only the standard library: nothing to compile, only to check.
cd "$(dirname "$0")/.." || exit 2
for script in review/standins.py review/[0-9]/case.py; do
    .venv/bin/python -B -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$script" || exit 2
done
