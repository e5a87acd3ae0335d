#!/usr/bin/env bash
# Formats the sources in place; with --check it only reports differences.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(-i)
[[ "${1:-}" == "--check" ]] && mode=(--dry-run -Werror)
git ls-files --cached --others --exclude-standard '*.cpp' '*.h' |
  grep -v '\.capnp\.' | while read -r file; do [[ -e "$file" ]] && echo "$file"; done |
  xargs -r -P 8 -n 20 clang-format "${mode[@]}"
