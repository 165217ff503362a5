#!/usr/bin/env bash
# Tests misc/reject_warnings.sh.
set -euo pipefail
reject_warnings=$(cd "$(dirname "$0")/../.." && pwd)/misc/reject_warnings.sh
failures=0

# expect ACCEPTED|REJECTED LINE...: runs the check on the lines and compares its decision.
expect() {
  local expected=$1 actual=ACCEPTED output
  shift
  output=$(printf '%s\n' "$@" | "$reject_warnings") || actual=REJECTED
  if [ "$actual" != "$expected" ] || ! grep -qxF -- "$1" <<<"$output"; then
    echo "FAILED: expected $expected of: $*"
    failures=$((failures + 1))
  fi
}

expect ACCEPTED "[1/2] Building CXX object a.cpp.o" "[2/2] Linking CXX executable a"
# The compiler prints this one as a warning although it is told to turn warnings into errors.
expect REJECTED "[1/2] Building CXX object a.cpp.o" \
  "a.cpp:96:1: warning: called on pointer returned from a mismatched allocation function [-Wmismatched-new-delete]"
expect REJECTED "/usr/bin/ld: warning: a.o: missing .note.GNU-stack section" "[2/2] Linking"
expect REJECTED "CMake Warning at CMakeLists.txt:3 (find_package):" "  not found"
expect REJECTED "CMake Deprecation Warning at CMakeLists.txt:1:" "  old"

[ "$failures" = 0 ] || exit 1
echo "passed"
