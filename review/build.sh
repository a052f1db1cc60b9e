#!/usr/bin/env bash
# Checks the stand-ins of the cases, which are Python and need no other build.
set -euo pipefail
cd "$(dirname "$0")"
command -v python3 >/dev/null || { echo "python3 is missing" >&2; exit 1; }
python3 - <<'PYTHON'
import ast
import glob
import sys

if sys.version_info < (3, 11):
    sys.exit("python 3.11 or newer is needed")
for path in sorted(glob.glob("standins/*.py") + glob.glob("*/case.py")):
    with open(path, encoding="utf-8") as source:
        ast.parse(source.read(), path)
PYTHON
