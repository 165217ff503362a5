#!/usr/bin/env bash
# Checks all sources with clang-format and clang-tidy. With --changed REV, clang-tidy runs only on the
# files that changed since REV.
set -euo pipefail
cd "$(dirname "$0")/.."
base=""
if [ "${1:-}" = --changed ]; then
  base=${2:?--changed needs a revision}
fi
mapfile -t sources < <(git ls-files '*.cpp' '*.h')
if [ "${#sources[@]}" -eq 0 ]; then
  exit 0
fi
echo "checking the format of ${#sources[@]} files"
clang-format --dry-run --Werror "${sources[@]}"
# GCC 12 destroys an aggregate temporary twice when it is brace-initialized inside a co_await
# expression, so such a value must be a named variable.
if grep -PzHo '(?s)co_await [^;{}]*[(,]\s*(\w+(::\w+)* )?\{[^}]' "${sources[@]}" | tr '\0' '\n'; then
  echo "brace-initialized temporary inside co_await: use a named variable"
  exit 1
fi
if [ -n "$base" ]; then
  mapfile -t units < <(git diff --name-only --diff-filter=d "$base" -- '*.cpp')
else
  mapfile -t units < <(git ls-files '*.cpp')
fi
if [ "${#units[@]}" -eq 0 ]; then
  exit 0
fi
echo "linting ${#units[@]} files (this takes some minutes)"
# libstdc++ enables <coroutine> only if this macro is defined. clang 14 supports coroutines but does
# not define it.
printf '%s\n' "${units[@]}" | xargs -P "$(nproc)" -n 1 \
  clang-tidy --quiet -p build --extra-arg=-D__cpp_impl_coroutine=201902L \
  --extra-arg=-Wno-unknown-warning-option 2>/dev/null
