#!/usr/bin/env bash
# Runs the program of a case from the repository's root, where the command of the deploy file starts, for
# 120 seconds at most. TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if it
# held, and 2 if the case could not run.
# Usage: review/support/run_case.sh NUMBER
set -uo pipefail
cd "$(dirname "$0")/../.."
number=${1:?number of the case}
program=build-review/review_case_$number
if [ ! -x "$program" ] || [ ! -x target/persimmon-host ]; then
  echo "build first: the command of the deploy file, then review/build.sh"
  exit 2
fi
timeout --kill-after=2 115 "$program" "review/$number/record.txt"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
