#!/usr/bin/env bash
# Installs missing packages and builds all targets in build/, or in the directory given as the first
# argument.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
export CMAKE_CXX_COMPILER_LAUNCHER=ccache
misc/install_deps.sh
echo "building into $build (a first build takes some minutes)"
cmake -S . -B "$build" -G Ninja -DCMAKE_BUILD_TYPE=Release >"$build.configure.log" 2>&1 || {
  cat "$build.configure.log"
  exit 1
}
rm -f "$build.configure.log"
cmake --build "$build" -- --quiet
