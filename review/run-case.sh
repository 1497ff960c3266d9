#!/bin/sh
# Plays the case in the folder that is named, with the Python of the deploy file's build.
folder=$(cd "$1" && pwd)
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root" || exit 2
test -x .venv/bin/python || { echo "the deploy file's build has not been run"; exit 2; }
PYTHONPATH="$root:$root/review" PYTHONDONTWRITEBYTECODE=1 exec .venv/bin/python "$folder/case.py"
