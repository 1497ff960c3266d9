#!/bin/sh
# Makes what the cases of the second review need beside the deploy file's build. They are Python, and so are
# the project's stand-ins that they use: it is only seen to that all of them can be read and imported.
root=$(cd "$(dirname "$0")/.." && pwd) || exit 1
cd "$root" || exit 1
test -x .venv/bin/python || { echo "first the deploy file's build" >&2; exit 1; }
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="$root/review:$root" .venv/bin/python - <<'END'
import ast
import pathlib

import rig_2

for path in pathlib.Path("review").glob("*/case.py"):
    ast.parse(path.read_text())
print("nothing to be built; the gateway is started with:", rig_2.RUN)
END
