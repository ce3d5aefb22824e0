#!/usr/bin/env bash
# The stand-ins need nothing but Python 3.11: this checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PY'
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for path in sorted(pathlib.Path().rglob("*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
PY
