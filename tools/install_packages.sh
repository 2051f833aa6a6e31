#!/usr/bin/env bash
# Installs every Debian package that the build, the tests and the linter use.
set -euo pipefail
packages=(
    g++ cmake make ninja-build ccache git curl clang-format clang-tidy
    libace-dev libzmq3-dev cppzmq-dev libprotobuf-dev libboost-dev
    libspdlog-dev libexpected-dev librapidcheck-dev libcurl4-openssl-dev
    libmicrohttpd-dev nlohmann-json3-dev libvalijson-dev libxxhash-dev libssl-dev zlib1g-dev
    libgtest-dev libbenchmark-dev
)
if dpkg -s "${packages[@]}" >/dev/null 2>&1; then
    exit 0
fi
export DEBIAN_FRONTEND=noninteractive
apt-get update
apt-get install -y --no-install-recommends "${packages[@]}"
