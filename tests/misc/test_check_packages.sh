#!/usr/bin/env bash
# Tests misc/check_packages.sh with the records of the build of the tests, which also uses ccache and the
# libraries of the tests. Usage: tests/misc/test_check_packages.sh BUILD_DIRECTORY
set -euo pipefail
root=$(cd "$(dirname "$0")/../.." && pwd)
build=${1:?build directory}
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
failures=0

fail() {
  echo "FAILED: $1"
  failures=$((failures + 1))
}

# write_system_file FILE PACKAGE...: writes a deploy file that lists the packages.
write_system_file() {
  local file=$1 names
  shift
  names=$(printf '"%s", ' "$@")
  printf 'build = "true"\npackages = [%s]\n' "${names%, }" >"$file"
}

# check_packages PACKAGE...: runs the check with a deploy file that lists the packages.
check_packages() {
  write_system_file "$work/system.toml" "$@"
  "$root/misc/check_packages.sh" "$work/inputs.tsv" "$work/system.toml" >"$work/output"
}

"$root/misc/list_build_inputs.sh" "$build" >"$work/inputs.tsv"
read -ra listed < <(sed -n 's/^packages *= *\[\(.*\)\].*/\1/p' "$root/deploy/system.toml" | tr -d '",')
all=("${listed[@]}" ccache doctest-dev librapidcheck-dev)

check_packages "${all[@]}" || fail "a complete list is rejected: $(cat "$work/output")"

for removed in "${all[@]}"; do
  rest=()
  for package in "${all[@]}"; do
    [ "$package" = "$removed" ] || rest+=("$package")
  done
  if check_packages "${rest[@]}"; then
    fail "accepted without $removed"
  elif ! grep -q "^missing in packages: $removed " "$work/output"; then
    fail "does not name $removed: $(cat "$work/output")"
  fi
done

printf 'header\t-\t/opt/unpackaged.h\n' >>"$work/inputs.tsv"
if check_packages "${all[@]}"; then fail "a file that no package owns is accepted"; fi

: >"$work/inputs.tsv"
if check_packages "${all[@]}"; then fail "a build without records is accepted"; fi

[ "$failures" = 0 ] || exit 1
echo "passed: ${#all[@]} packages, each taken out once"
