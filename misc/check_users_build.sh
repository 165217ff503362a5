#!/usr/bin/env bash
# Builds the last commit as the users do, by the command of deploy/system.toml in a fresh clone, and checks
# that the build prints no warning, writes only below target/, and uses nothing but the listed packages.
# Then compiles the same files for the other architecture. Installs nothing and needs no root.
# Usage: misc/check_users_build.sh
set -euo pipefail
cd "$(dirname "$0")/.."
export LC_ALL=C
checkout=$PWD/build-users/checkout
inputs=$PWD/build-users/inputs.tsv
unset CMAKE_CXX_COMPILER_LAUNCHER

rm -rf build-users
git clone -q . "$checkout"
command=$(sed -n 's/^build = "\(.*\)"$/\1/p' "$checkout/deploy/system.toml")
echo "building $(git rev-parse --short HEAD) as the users do"
start=$SECONDS
(cd "$checkout" && sh -c "$command") 2>&1 | misc/reject_warnings.sh >build-users/build.log || {
  cat build-users/build.log
  exit 1
}
echo "built in $((SECONDS - start)) s"
written=$(git -C "$checkout" status --porcelain --ignored | grep -v '^!! target/$' || true)
if [ -n "$written" ]; then
  echo "the build writes outside target/:"
  echo "$written"
  exit 1
fi
misc/list_build_inputs.sh "$checkout/target" >"$inputs"
misc/check_packages.sh "$inputs" "$checkout/deploy/system.toml"
misc/compile_other_architecture.sh "$checkout/target" | misc/reject_warnings.sh
