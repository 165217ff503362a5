#!/usr/bin/env bash
# Prints a table of the costs measured at several sizes, with the slope of each cost. The arguments
# are passed to persimmon-measure: --part NAME measures one part, --seed N sets the random seed.
# Requires a build. The address space is limited to 2 GiB and the run time to 10 minutes.
set -euo pipefail
cd "$(dirname "$0")/.."
ulimit -v 2097152
exec timeout 600 "${BUILD:-build}/persimmon-measure" "$@"
