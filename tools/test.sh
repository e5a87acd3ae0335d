#!/usr/bin/env bash
# Builds the project and runs all tests. The tests listed in KNOWN-RED.txt are run
# and their results printed, but their failures do not fail this script.
set -euo pipefail
cd "$(dirname "$0")/.."
build_dir=${BUILD_DIR:-build}
tools/build.sh
exclude=()
known_red=$(sed -n 's/^test: *//p' KNOWN-RED.txt 2>/dev/null | paste -sd'|' || true)
if [[ -n "$known_red" ]]; then
  echo "known failing tests, not counted: $known_red"
  exclude=(-E "^($known_red)\$")
fi
if [[ -n "$known_red" ]]; then
  ctest --test-dir "$build_dir" -j 4 --timeout 300 -R "^($known_red)\$" || true
  echo "the failures above are listed in KNOWN-RED.txt and do not count"
fi
ctest --test-dir "$build_dir" --output-on-failure -j 8 --timeout 300 "${exclude[@]}"
