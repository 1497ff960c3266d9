#!/bin/sh
# Plays the case in a folder: its case.py with the environment that the deploy file's build has made.
# Exit: 1 the rule was broken, 0 it held, 2 the case could not run.
folder=$(cd "$1" && pwd) || exit 2
root=$(cd "$folder/../.." && pwd) || exit 2
test -x "$root/.venv/bin/python" || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="$root/review:$root" exec "$root/.venv/bin/python" "$folder/case.py"
