#!/usr/bin/env bash
# Builds the tests of protocol, state and entry with address and undefined-behaviour sanitizers, then
# those of protocol and state with the thread sanitizer, in folders of their own, and runs them. JOBS
# sets the build's parallelism.
set -euo pipefail
cd "$(dirname "$0")/.."
export UBSAN_OPTIONS=halt_on_error=1:print_stacktrace=1

# Arguments: build folder, sanitizers, modules.
run() {
  local build=$1 sanitizers=$2 module targets=()
  shift 2
  echo "building into $build with $sanitizers (a first build takes some minutes)"
  cmake -S . -B "$build" -G Ninja -DCMAKE_BUILD_TYPE=Release "-DPERSIMMON_SANITIZE=$sanitizers" >/dev/null
  for module in "$@"; do
    if compgen -G "tests/$module/*.cpp" >/dev/null; then
      targets+=("test_$module")
    fi
  done
  cmake --build "$build" -j "${JOBS:-4}" --target "${targets[@]}" -- --quiet
  ctest --test-dir "$build" --output-on-failure --no-tests=error -R "^($(IFS='|'; echo "$*"))\$"
}

run build-asan address,undefined protocol state entry
run build-tsan thread protocol state
