#!/usr/bin/env bash
# Random faults against real daemons, with the promises checked meanwhile.
# Arguments: SEED [options of fault_soak, such as --runs 50 --daemons 40].
# A seed takes its seconds with faults and half a minute.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/build.sh fault_soak >/dev/null
exec build/testing/fault_soak/fault_soak --seed "${1:?seed}" "${@:2}"
