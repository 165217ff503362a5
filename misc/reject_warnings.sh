#!/usr/bin/env bash
# Copies the output of a build from standard input to standard output. Exits with 1 if it contains a line
# of a warning, including those that the compiler does not turn into errors.
set -euo pipefail
export LC_ALL=C
status=0
while IFS= read -r line || [ -n "$line" ]; do
  printf '%s\n' "$line"
  case $line in
    *warning:* | *"CMake Warning"* | *"CMake Deprecation Warning"*) status=1 ;;
  esac
done
[ "$status" = 0 ] || echo "the build printed warnings"
exit "$status"
