#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need. Packages that
# are already there are left alone, so that a second run needs no network.
set -euo pipefail
packages=(g++ cmake ninja-build make pkg-config clang clang-format clang-tidy
  libclang-rt-14-dev libwebsockets-dev libjsonrpccpp-dev libjsoncpp-dev
  libdocopt-dev libeasyloggingpp-dev libboost-dev libboost-test-dev
  librapidcheck-dev libtrompeloeil-cpp-dev libxxhash-dev libssl-dev openssl
  curl python3)
missing=()
for package in "${packages[@]}"; do
  state=$(dpkg-query -W -f '${db:Status-Status}' "$package" 2>/dev/null || true)
  [ "$state" = installed ] || missing+=("$package")
done
[ ${#missing[@]} -gt 0 ] || exit 0
apt-get update -q
DEBIAN_FRONTEND=noninteractive apt-get install -y -q --no-install-recommends \
  "${missing[@]}"
