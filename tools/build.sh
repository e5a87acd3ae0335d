#!/usr/bin/env bash
# Configures and builds everything, or the targets given. BUILD_DIR selects the
# build folder.
set -euo pipefail
cd "$(dirname "$0")/.."
build_dir=${BUILD_DIR:-build}
cmake -S . -B "$build_dir" -G Ninja -DCMAKE_BUILD_TYPE="${BUILD_TYPE:-Release}" \
  -DCMAKE_EXPORT_COMPILE_COMMANDS=ON >/dev/null
targets=()
(($#)) && targets=(--target "$@")
cmake --build "$build_dir" -j "${JOBS:-10}" "${targets[@]}"
