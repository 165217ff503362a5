#!/usr/bin/env bash
# Checks that a machine that holds only the packages listed in deploy/system.toml, and what they depend
# on, has all that a build reads:
# - each file that the build reads belongs to a listed package, to one that a listed package depends on,
#   or to the base system;
# - a header that the sources include, or a tool that the build runs, belongs to a listed package itself,
#   unless it comes with the compiler.
# Prints one line for each package that is missing. Needs neither root nor a network.
# Usage: misc/check_packages.sh INPUTS [SYSTEM_TOML]    INPUTS: output of misc/list_build_inputs.sh
set -euo pipefail
export LC_ALL=C
inputs=${1:?output of misc/list_build_inputs.sh}
system_file=${2:-$(dirname "$0")/../deploy/system.toml}
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# Prints the listed packages, one a line.
listed_packages() { sed -n 's/^packages *= *\[\(.*\)\].*/\1/p' "$system_file" | tr -d '" ' | tr ',' '\n'; }

# Prints "PACKAGE DEPENDENCY" for the installed packages. Of alternatives, the first one that is
# installed counts. A virtual package has the packages that provide it as dependencies.
dependencies() {
  dpkg-query -W -f '${Status}|${Package}|${Pre-Depends}, ${Depends}|${Provides}|${Essential}|${Priority}\n' |
    awk -F '|' '
      function strip(text) { gsub(/\([^)]*\)|:[a-z0-9]+| /, "", text); return text }
      # The dependencies may contain the separator, so the last fields are counted from the end.
      $1 != "install ok installed" { next }
      {
        package = $2
        depends = $3
        for (i = 4; i <= NF - 3; i++) depends = depends "|" $i
        installed[package] = 1
        dependencies[package] = depends
        count = split($(NF - 2), names, ",")
        for (i = 1; i <= count; i++) {
          name = strip(names[i])
          provided[name] = 1
          if (name != "") print name "\t" package
        }
        if ($(NF - 1) == "yes" || $NF == "required") print "base-system\t" package
      }
      END {
        for (package in dependencies) {
          count = split(dependencies[package], groups, ",")
          for (i = 1; i <= count; i++) {
            alternatives = split(groups[i], names, "|")
            for (k = 1; k <= alternatives; k++) {
              name = strip(names[k])
              if (name in installed || name in provided) { print package "\t" name; break }
            }
          }
        }
      }'
}

# closure FILE: prints the packages in the file and all that they depend on.
closure() {
  awk -F '\t' -v start="$1" '
    { dependencies[$1] = dependencies[$1] " " $2 }
    END {
      while ((getline name < start) > 0) queue[++last] = name
      for (first = 1; first <= last; first++) {
        if (queue[first] in seen) continue
        seen[queue[first]] = 1
        print queue[first]
        count = split(dependencies[queue[first]], names, " ")
        for (i = 1; i <= count; i++) queue[++last] = names[i]
      }
    }' "$work/dependencies" | sort
}

# report_missing KINDS ALLOWED REASON: prints the packages of inputs of these kinds that are not in the
# file of allowed packages.
report_missing() {
  awk -F '\t' -v kinds="$1" -v allowed="$2" -v reason="$3" '
    BEGIN { while ((getline name < allowed) > 0) found[name] = 1 }
    $1 !~ "^(" kinds ")$" || $2 in found || $2 in reported { next }
    { reported[$2] = 1; print "missing in packages: " $2 " (" reason ": " $3 ")" }' "$inputs"
}

listed_packages >"$work/listed"
dependencies >"$work/dependencies"
{ cat "$work/listed"; echo base-system; } >"$work/start"
closure "$work/start" >"$work/available"
# The compiler's package brings the headers of the language and of the C library, and the linker.
{ grep -x 'g++' "$work/listed" || true; } >"$work/compiler"
{ cat "$work/listed"; closure "$work/compiler"; } >"$work/direct"

if [ ! -s "$inputs" ] || [ ! -s "$work/listed" ]; then
  echo "nothing to compare: $inputs or the packages of $system_file are empty"
  exit 1
fi
{
  report_missing 'tool|header' "$work/direct" "used directly"
  report_missing '.*' "$work/available" "used"
} | sort -u -k 4,4 >"$work/missing"
cat "$work/missing"
[ ! -s "$work/missing" ] || exit 1
echo "packages: all $(wc -l <"$inputs") files that the build reads come from the $(wc -l <"$work/listed") listed packages"
