#!/usr/bin/env bash
# Installs missing packages, builds all targets and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
misc/build.sh build
echo "running all tests"
ctest --test-dir build --output-on-failure --no-tests=error
