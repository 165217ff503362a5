#!/usr/bin/env bash
# Prints one table of measured costs by size with the slope of each. Arguments go to persimmon-measure:
# --part NAME for one part, --seed N. Needs a build; the address space is limited to 2 GB.
set -euo pipefail
cd "$(dirname "$0")/.."
ulimit -v 2097152
exec timeout 600 "${BUILD:-build}/persimmon-measure" "$@"
