#!/usr/bin/env bash
# Builds and runs the benchmarks (Release). Exits with 1 if a target is missed.
# policy_bench measures in virtual time; the results of scheduler_bench depend
# on the machine.
set -euo pipefail
cd "$(dirname "$0")/.."
build_dir=${BUILD_DIR:-build}
BUILD_TYPE=Release tools/build.sh
status=0
"$build_dir/bin/scheduler_bench" || status=1
"$build_dir/bin/policy_bench" "${SEED:-1}" || status=1
python3 tools/bench_latency.py "$build_dir/bin" || status=1
exit "$status"
