#!/usr/bin/env bash
# Builds the project, repeats the measurements of docs/CAPACITY.md and prints its
# tables. Takes about three minutes and starts up to 210 small processes on
# loopback.
set -euo pipefail
cd "$(dirname "$0")/.."
build_dir=${BUILD_DIR:-build}
tools/build.sh
python3 tools/capacity.py measure "$build_dir/bin"
