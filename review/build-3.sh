#!/bin/sh
# Builds the stand-ins of the cases 11 to 15 into target/review-3/, with the
# packages of the deploy file only.
set -eu
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
for name in fleet cancelled_job other_kind late_start; do
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -c "review/stand_ins_3/$name.cpp" \
    -o "$out/$name.o" &
done
wait
for name in cancelled_job other_kind late_start; do
  "${CXX:-g++}" "$out/$name.o" "$out/fleet.o" -o "$out/$name" \
    -lpthread
done
