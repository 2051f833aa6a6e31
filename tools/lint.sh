#!/usr/bin/env bash
# Checks format and lint. Arguments: files; none means every source file.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ $# -gt 0 ]; then
    files=("$@")
else
    mapfile -t files < <(git ls-files '*.cpp' '*.hpp' | sort)
fi
clang-format --dry-run --Werror "${files[@]}"
cmake -S . -B build -G Ninja -DCMAKE_BUILD_TYPE=Release >/dev/null
printf '%s\n' "${files[@]}" | grep '\.cpp$' |
    xargs -r -P "${LINT_JOBS:-12}" -n 1 clang-tidy -p build --quiet \
        2> >(grep -vE 'warnings? (generated|suppressed)|Suppressed|Use -header' >&2)
echo "format and lint are clean: ${#files[@]} files"
