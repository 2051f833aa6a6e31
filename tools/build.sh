#!/usr/bin/env bash
# Configures and builds everything below build/. Arguments: targets.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build -G Ninja -DCMAKE_BUILD_TYPE=Release >/dev/null
if [ $# -gt 0 ]; then
    ninja -C build "$@"
else
    ninja -C build
fi
