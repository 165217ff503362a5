#!/usr/bin/env bash
# Lists what the build of a target reads from the system, one line "KIND PACKAGE PATH" each, separated by
# tabs and sorted. Reads the records of a finished build (commands and dependencies of ninja) and the
# database of dpkg. PACKAGE is "-" for a file that no package owns. The kinds:
#   tool              a program that the build runs, including cmake and ninja
#   header            a header that a source file of this repository includes
#   indirect-header   a header that another header includes
#   library           a library that the link command names
#   configuration     a file that the configuration step reads
# Usage: misc/list_build_inputs.sh BUILD_DIRECTORY [TARGET]
set -euo pipefail
export LC_ALL=C
build=$(cd "${1:?build directory}" && pwd)
target=${2:-persimmon-host}
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# cached_value NAME: prints a value of the cache of CMake.
cached_value() { sed -n "s/^$1:[A-Z]*=//p" "$build/CMakeCache.txt"; }

ninja=$(cached_value CMAKE_MAKE_PROGRAM)
cmake=$(cached_value CMAKE_COMMAND)
compiler=$(cached_value CMAKE_CXX_COMPILER)
source=$(cached_value CMAKE_HOME_DIRECTORY)

run_ninja() { "$ninja" -C "$build" "$@"; }

# Prints the files that the compiler read for the objects of the target.
compiled_files() {
  run_ninja -t inputs "$target" >"$work/inputs"
  run_ninja -t deps | awk -v inputs="$work/inputs" '
    BEGIN { while ((getline name < inputs) > 0) wanted[name] = 1 }
    /^[^ ]/ { sub(/: #deps .*/, ""); selected = $0 in wanted }
    selected && /^    / { print substr($0, 5) }' | sort -u
}

# Prints the names in the #include lines of the files on standard input.
included_names() {
  xargs -d '\n' sed -n 's/^[[:space:]]*#[[:space:]]*include[[:space:]]*[<"]\([^>"]*\)[>"].*/\1/p' | sort -u
}

# Prints the headers of the system as "header PATH" or "indirect-header PATH".
headers() {
  compiled_files >"$work/compiled"
  grep -F "$source/" "$work/compiled" | included_names >"$work/included"
  awk -v names="$work/included" -v source="$source/" '
    BEGIN { while ((getline name < names) > 0) included[name] = 1 }
    index($0, source) == 1 { next }
    {
      kind = "indirect-header"
      for (rest = $0; sub(/^[^\/]*\//, "", rest);) if (rest in included) kind = "header"
      print kind "\t" $0
    }' "$work/compiled"
}

# Prints the programs that the commands of the target start.
tools() {
  {
    run_ninja -t commands "$target" | sed 's/ && /\n/g' | awk '$1 != ":" { print $1 }' | sort -u | xargs which
    printf '%s\n' "$ninja" "$cmake" "$compiler"
  } | sed 's/^/tool\t/'
}

# library_path NAME: prints the file that the linker takes for -lNAME.
library_path() {
  local path
  path=$("$compiler" "-print-file-name=lib$1.so")
  # The compiler repeats the name of a file that it does not find.
  [ "$path" != "lib$1.so" ] || path=$("$compiler" "-print-file-name=lib$1.a")
  echo "$path"
}

libraries() {
  local word words
  read -ra words < <(run_ninja -t commands "$target" | tail -n 1)
  for word in "${words[@]}"; do
    case $word in
      -l*) printf 'library\t%s\n' "$(library_path "${word#-l}")" ;;
      /*.so* | /*.a) printf 'library\t%s\n' "$word" ;;
    esac
  done
}

configuration() {
  run_ninja -t query build.ninja | sed -n 's/^    | //p' |
    awk -v source="$source/" '/^\// && index($0, source) != 1 { print "configuration\t" $0 }'
}

# owners FILE: prints "PATH PACKAGE" for the paths in the file that a package owns.
owners() {
  xargs -d '\n' -a "$1" dpkg -S 2>/dev/null | sed -n 's/^\([^ :,]*\)[^ ]*: \(.*\)/\2\t\1/p' | sort -u || true
}

# package_of PATH: prints the package and the path that it installs. Follows links that no package owns,
# such as those of update-alternatives, and tries /lib for /usr/lib, which are the same directory.
package_of() {
  local path=$1 candidate package
  while :; do
    for candidate in "$path" "${path#/usr}"; do
      package=$(dpkg -S "$candidate" 2>/dev/null | sed -n 's/^\([^ :,]*\).*/\1/p' | head -n 1)
      if [ -n "$package" ]; then
        printf '%s\t%s\n' "$package" "$candidate"
        return
      fi
    done
    [ -L "$path" ] || break
    path=$(cd "$(dirname "$path")" && realpath -s "$(readlink "$path")")
  done
  printf -- '-\t%s\n' "$path"
}

{
  tools
  headers
  libraries
  configuration
} >"$work/found"
cut -f 2 "$work/found" | xargs -d '\n' realpath -s >"$work/paths"
paste <(cut -f 1 "$work/found") "$work/paths" | sort -u >"$work/normalized"
owners "$work/paths" >"$work/owners"
awk -F '\t' -v owners="$work/owners" -v unowned="$work/unowned" '
  BEGIN { while ((getline line < owners) > 0) { split(line, field, "\t"); owner[field[1]] = field[2] } }
  $2 in owner { print $1 "\t" owner[$2] "\t" $2; next }
  { print > unowned }' "$work/normalized" >"$work/owned"
{
  cat "$work/owned"
  if [ -f "$work/unowned" ]; then
    while IFS=$'\t' read -r kind path; do
      printf '%s\t%s\n' "$kind" "$(package_of "$path")"
    done <"$work/unowned"
  fi
} | sort -u
