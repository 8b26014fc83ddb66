#!/bin/sh
# Checks the stand-ins of the cases; they need Python alone and no other build.
set -e
cd "$(dirname "$0")"
python3 - <<'PY'
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or newer is needed")
for path in (pathlib.Path("standins2.py"), *sorted(pathlib.Path().glob("*/case.py"))):
    compile(path.read_text(), str(path), "exec")
PY
