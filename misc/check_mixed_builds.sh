#!/usr/bin/env bash
# Plays hosts of the given commit beside those of the work tree while one after the other is replaced,
# forth and back. Builds the commit in build-other/. Needs build/ (misc/build.sh).
set -euo pipefail
cd "$(dirname "$0")/.."
commit=${1:?the commit of the other hosts}
sources=$(mktemp -d)
trap 'rm -rf "$sources"' EXIT
git archive "$commit" | tar -x -C "$sources"
cmake -S "$sources" -B build-other -G Ninja -DCMAKE_BUILD_TYPE=Release -DPERSIMMON_HOST_ONLY=ON >/dev/null
cmake --build build-other --target persimmon-host -- --quiet
PERSIMMON_OTHER_HOST="$PWD/build-other/persimmon-host" build/tests/test_system -tc="hosts of two versions*"
