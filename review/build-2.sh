#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10 into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
flags=(-std=c++20 -O2 -Wall -Wextra -pthread -I.)
for source in review/{6,7,8,9,10}/*.cpp; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ "${flags[@]}" "$source" review/standin/*.cpp -o "target/review-2/case-$number"
done
