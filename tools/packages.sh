#!/usr/bin/env bash
# Installs the Debian packages that the build, the linters and the tests need.
set -euo pipefail
packages=(g++ cmake ninja-build ccache pkg-config clang-format clang-tidy
    libulfius-dev libmicrohttpd-dev libcereal-dev libcli11-dev liblog4cxx-dev libyaml-cpp-dev
    libboost-dev librapidcheck-dev libgtest-dev libgmock-dev libfmt-dev libxxhash-dev
    libcurl4-gnutls-dev nlohmann-json3-dev nettle-dev zlib1g-dev curl)
missing=()
for package in "${packages[@]}"; do
    dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
done
if ((${#missing[@]})); then
    apt-get update -qq
    apt-get install -y -qq --no-install-recommends "${missing[@]}"
fi
