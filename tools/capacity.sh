#!/usr/bin/env bash
# Builds, repeats the measurements behind docs/CAPACITY.md and prints its
# tables. Takes about three minutes and up to 210 small processes on loopback.
set -euo pipefail
cd "$(dirname "$0")/.."
build_dir=${BUILD_DIR:-build}
tools/build.sh
python3 tools/capacity.py measure "$build_dir/bin"
