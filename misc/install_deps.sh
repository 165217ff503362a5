#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests require. Exits at once if all of them are
# installed.
set -euo pipefail

packages=(
  g++ cmake ninja-build ccache clang-format clang-tidy git curl jq
  libboost1.81-dev libboost-log1.81-dev libboost-json1.81-dev libboost-url1.81-dev
  libjsonrpccpp-dev libjsoncpp-dev libcxxopts-dev libxxhash-dev libmsgpuck-dev
  doctest-dev librapidcheck-dev libyaml-cpp-dev
)
# The compiler for the other architecture that the sources must build on.
case $(dpkg --print-architecture) in
  arm64) packages+=(g++-x86-64-linux-gnu) ;;
  *) packages+=(g++-aarch64-linux-gnu) ;;
esac

missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
if [ "${#missing[@]}" -eq 0 ]; then
  exit 0
fi
echo "installing: ${missing[*]}"
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq --no-install-recommends "${missing[@]}"
