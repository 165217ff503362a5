#!/usr/bin/env bash
# Installs what is missing and builds everything into build/ (or into the folder of the first argument).
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
misc/install_deps.sh
echo "building into $build (a first build takes some minutes)"
cmake -S . -B "$build" -G Ninja -DCMAKE_BUILD_TYPE=Release >"$build.configure.log" 2>&1 || {
  cat "$build.configure.log"
  exit 1
}
rm -f "$build.configure.log"
cmake --build "$build" -- --quiet
