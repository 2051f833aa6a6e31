#!/usr/bin/env bash
# Builds what the scripts of the second review start, after the build of
# deploy/system.toml: one program a case, with its stand-ins, below target/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/[0-9]*/case.cc; do
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "target/review-2/case-$number" &
done
for job in $(jobs -p); do
    wait "$job"
done
