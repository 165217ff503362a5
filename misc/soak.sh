#!/usr/bin/env bash
# Runs the soak test with the seeds FIRST to FIRST+RUNS-1, JOBS of them in parallel (default 3), and
# prints one line per seed. Exits with 0 only if all runs pass.
# Usage: misc/soak.sh FIRST RUNS [JOBS]
set -euo pipefail
cd "$(dirname "$0")/.."
first=${1:?first seed} runs=${2:?number of seeds} jobs=${3:-3}
misc/build.sh build
run_seed() {
  PERSIMMON_SOAK_SEED=$1 PERSIMMON_SOAK_RUNS=1 build/tests/test_soak -tc="invariants hold while*" >"build/soak-$1.log" 2>&1 ||
    { cat "build/soak-$1.log"; return 1; }
  grep -o "seed $1: .*" "build/soak-$1.log"
}
export -f run_seed
seq "$first" $((first + runs - 1)) | xargs -P "$jobs" -I{} bash -c 'run_seed {}'
