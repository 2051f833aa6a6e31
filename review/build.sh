#!/usr/bin/env bash
# Builds the programs that the cases start: one for each case, with the
# stand-ins in it. Needs what the build of the deploy file needs.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p ../target/review
for source in */scenario.cc; do
    name=$(dirname "$source")
    g++ -std=c++20 -O1 -Wall -Wextra -o "../target/review/case-$name" "$source"
done
