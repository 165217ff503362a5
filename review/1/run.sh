#!/usr/bin/env bash
# Plays case 1 from the repository's root, where the command of the deploy file starts, for 120 seconds at
# most, and writes record.txt beside this file. TROUBLE=0 does the same without the disruption.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
set -uo pipefail
TROUBLE=${TROUBLE:-1}
cd "$(dirname "$0")/../.."
program=build-review/review_case_1
if [ ! -x "$program" ] || [ ! -x target/persimmon-host ]; then
  echo "build first: the command of the deploy file, then review/build.sh"
  exit 2
fi
timeout --kill-after=2 115 "$program" review/1/record.txt "$TROUBLE"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
