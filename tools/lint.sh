#!/usr/bin/env bash
# usage: tools/lint.sh [FILE...]
# Runs clang-tidy on the given files, by default on all sources in src/, platform/
# and tests/.
set -euo pipefail
cd "$(dirname "$0")/.."
build_dir=${BUILD_DIR:-build}
if (($#)); then
  files=("$@")
else
  mapfile -t files < <(git ls-files --cached --others --exclude-standard 'src/*.cpp' 'platform/*.cpp' 'tests/*.cpp' | grep -v '\.capnp\.')
fi
printf '%s\n' "${files[@]}" |
  xargs -r -P "${JOBS:-10}" -n 1 clang-tidy --quiet -p "$build_dir" 2>"$build_dir/lint.stderr" || {
  grep -av 'warnings generated\|Suppressed\|Use -header-filter' "$build_dir/lint.stderr" >&2 || true
  exit 1
}
