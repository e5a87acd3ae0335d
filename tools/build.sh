#!/usr/bin/env bash
# usage: tools/build.sh [TARGET...]
# Configures the build and builds the given targets, by default all. BUILD_DIR
# sets the build folder, BUILD_TYPE the CMake build type, JOBS the number of
# parallel jobs.
set -euo pipefail
cd "$(dirname "$0")/.."
build_dir=${BUILD_DIR:-build}
cmake -S . -B "$build_dir" -G Ninja -DCMAKE_BUILD_TYPE="${BUILD_TYPE:-Release}" \
  -DCMAKE_EXPORT_COMPILE_COMMANDS=ON >/dev/null
targets=()
(($#)) && targets=(--target "$@")
cmake --build "$build_dir" -j "${JOBS:-10}" "${targets[@]}"
