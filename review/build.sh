#!/bin/sh
# Builds what the cases start beside the gateway. The stand-ins are Python and need the deploy file's build alone:
# this checks that each of them, the project's own agent too, can be loaded with it.
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root" || exit 1
test -x .venv/bin/python || { echo "the deploy file's build has not been run"; exit 1; }
for file in review/common.py review/*/case.py; do
    .venv/bin/python -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file" || exit 1
done
PYTHONPATH="$root:$root/review" PYTHONDONTWRITEBYTECODE=1 .venv/bin/python -c 'import common' || exit 1
