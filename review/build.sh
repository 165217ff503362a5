#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases in build-review/. Needs the packages of the deploy file
# only, and the build of the deploy file for the hosts themselves.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build-review -G Ninja -DCMAKE_BUILD_TYPE=Release -DPERSIMMON_HOST_ONLY=ON \
  -DCMAKE_PROJECT_persimmonhead_INCLUDE="$PWD/review/programs.cmake" >/dev/null
cmake --build build-review --target review_cases -- --quiet
