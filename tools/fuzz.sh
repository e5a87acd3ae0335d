#!/usr/bin/env bash
# Builds the fuzz targets with clang and runs each with a fixed seed and a
# limited number of inputs, which RUNS sets.
set -euo pipefail
cd "$(dirname "$0")/.."
build_dir=${FUZZ_BUILD_DIR:-build-fuzz}
cmake -S . -B "$build_dir" -G Ninja -DCMAKE_BUILD_TYPE=Release \
  -DCMAKE_CXX_COMPILER=clang++ -DCMAKE_C_COMPILER=clang -DGREENGAGE_FUZZ=ON >/dev/null
cmake --build "$build_dir" -j "${JOBS:-10}" --target fuzzers
for target in fuzz/*_fuzz.cpp; do
  name=$(basename "$target" .cpp)
  corpus="$build_dir/corpus/$name"
  # Removes the corpus of earlier runs, so that the run depends only on the seed
  # and the inputs in fuzz/seeds.
  rm -rf "$corpus"
  mkdir -p "$corpus"
  cp fuzz/seeds/"$name"/* "$corpus"/ 2>/dev/null || true
  echo "== $name"
  "$build_dir/bin/$name" -runs="${RUNS:-50000}" -seed=1 -max_len=4096 -timeout=10 \
    -artifact_prefix="$build_dir/$name-" -print_final_stats=1 "$corpus" 2>"$build_dir/$name.log" ||
    { tail -n 40 "$build_dir/$name.log" >&2; exit 1; }
  grep 'number_of_executed_units' "$build_dir/$name.log"
done
