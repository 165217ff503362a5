#!/usr/bin/env bash
# Compiles what a target is built from for the other architecture: with the commands of a finished build,
# but with Debian's cross compiler (for x86-64 on arm64, for arm64 elsewhere). Links nothing. The messages
# of the compiler go to standard output. Exits with 0 only if all files compile.
# Usage: misc/compile_other_architecture.sh BUILD_DIRECTORY [TARGET]
set -euo pipefail
export LC_ALL=C
build=$(cd "${1:?build directory}" && pwd)
target=${2:-persimmon-host}
case $(uname -m) in
  aarch64) cross_compiler=x86_64-linux-gnu-g++ ;;
  *) cross_compiler=aarch64-linux-gnu-g++ ;;
esac
native_compiler=$(sed -n 's/^CMAKE_CXX_COMPILER:[A-Z]*=//p' "$build/CMakeCache.txt")

# Prints the commands that compile a source file. The headers of the libraries are the same for all
# architectures; -idirafter places them after those of the cross compiler's own C library.
cross_commands() {
  ninja -C "$build" -t commands "$target" | grep -- ' -c ' |
    sed -E "s#^.*$native_compiler #$cross_compiler -idirafter /usr/include #; s# -MD -MT \S+ -MF \S+# #; s# -o \S+# -o /dev/null#"
}

cd "$build"
cross_commands >"$build/cross_commands"
echo "compiling $(wc -l <"$build/cross_commands") files with $cross_compiler"
xargs -a "$build/cross_commands" -d '\n' -P "$(nproc)" -n 1 bash -c 2>&1
