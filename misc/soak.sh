#!/usr/bin/env bash
# Runs the fault soak over seeds FIRST to FIRST+RUNS-1, some of them side by side, and prints a line
# for each; exit 0 only if all held. Usage: misc/soak.sh FIRST RUNS [JOBS]
set -euo pipefail
cd "$(dirname "$0")/.."
first=${1:?first seed} runs=${2:?number of seeds} jobs=${3:-3}
misc/build.sh build
playSeed() {
  PERSIMMON_SOAK_SEED=$1 PERSIMMON_SOAK_RUNS=1 build/tests/test_soak -tc="promises hold*" >"build/soak-$1.log" 2>&1 ||
    { cat "build/soak-$1.log"; return 1; }
  grep -o "seed $1: .*" "build/soak-$1.log"
}
export -f playSeed
seq "$first" $((first + runs - 1)) | xargs -P "$jobs" -I{} bash -c 'playSeed {}'
