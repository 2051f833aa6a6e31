#!/usr/bin/env bash
# Installs packages, builds, and runs all tests; ends with ctest's summary.
# Tests named in KNOWN-RED.txt run first, are printed, and do not count.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/install_packages.sh
tools/build.sh
known_red=$(sed -n 's/^test: //p' KNOWN-RED.txt | paste -sd '|')
leave_out=()
if [ -n "$known_red" ]; then
    leave_out=(--exclude-regex "^($known_red)\$")
    echo "known faults, left out of the verdict (KNOWN-RED.txt):"
    ctest --test-dir build --output-on-failure \
        --tests-regex "^($known_red)\$" 2>&1 |
        grep -vE 'tests passed|tests failed' || true
fi
ctest --test-dir build --output-on-failure --parallel 6 "${leave_out[@]}"
