#!/usr/bin/env bash
# Checks the stand-ins of the cases. They are Python programs without
# dependencies, so nothing is compiled.
set -euo pipefail
cd "$(dirname "$0")"
for source in stand_ins/*.py [1-5]/*.py; do
  python3 - "$source" <<'PY'
import sys

with open(sys.argv[1], encoding="utf-8") as file:
    compile(file.read(), sys.argv[1], "exec")
PY
done
