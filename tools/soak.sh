#!/usr/bin/env bash
# Long randomised run of the state and its recovery. Arguments: SEED STEPS.
# A hundred million steps take a few minutes.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/build.sh state_soak >/dev/null
exec build/testing/state_soak/state_soak "${1:?seed}" "${2:?steps}" "${@:3}"
