#!/usr/bin/env bash
# Installs packages, builds, and runs all tests; ends with ctest's summary.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/install_packages.sh
tools/build.sh
ctest --test-dir build --output-on-failure --parallel 6
