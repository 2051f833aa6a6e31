#!/usr/bin/env bash
# Configures and builds everything below build/. Arguments: targets.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build -G Ninja -DCMAKE_BUILD_TYPE=Release >/dev/null
ninja -C build "$@"
