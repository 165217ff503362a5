#!/usr/bin/env bash
# Builds and runs the tests of protocol, state and entry with AddressSanitizer and
# UndefinedBehaviorSanitizer, then those of protocol and state with ThreadSanitizer. Each set of
# sanitizers has its own build directory. JOBS sets the number of parallel build jobs (default 4).
set -euo pipefail
cd "$(dirname "$0")/.."
export CMAKE_CXX_COMPILER_LAUNCHER=ccache
export UBSAN_OPTIONS=halt_on_error=1:print_stacktrace=1

# build_and_test BUILD_DIRECTORY SANITIZERS MODULE...: builds and runs the tests of the modules.
build_and_test() {
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

build_and_test build-asan address,undefined protocol state entry
build_and_test build-tsan thread protocol state
