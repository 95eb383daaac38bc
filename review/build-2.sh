#!/usr/bin/env bash
# Builds what the scripts of the second review start besides the product: their stand-ins and the
# harness are Python files that use the standard library only, so they are only compiled here.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'PYTHON'
import pathlib

for path in sorted(pathlib.Path("review").glob("*2.py")) + sorted(pathlib.Path("review").glob("[4-8]/*.py")):
    compile(path.read_text(), str(path), "exec")
    print("checked", path)
PYTHON
