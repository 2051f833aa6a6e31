#!/usr/bin/env bash
# Checks format and lint. Arguments: files; none means every source file.
#
# A file that was clean is not checked again while nothing that its result
# depends on has changed: the file, every header that it includes, the checks,
# the linter's version and the compiler's options. What includes what is known
# from the build; a file that was not built is always checked.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ $# -gt 0 ]; then
    files=("$@")
else
    mapfile -t files < <(git ls-files '*.cpp' '*.hpp' | sort)
fi
clang-format --dry-run --Werror "${files[@]}"
cmake -S . -B build -G Ninja -DCMAKE_BUILD_TYPE=Release >/dev/null

cache=${BASILSTREAM_LINT_CACHE:-${XDG_CACHE_HOME:-$HOME/.cache}/basilstream-lint}
mkdir -p "$cache"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
root=$PWD
common=$({ cat .clang-tidy; clang-tidy --version; grep -h 'add_compile_options\|CMAKE_CXX' CMakeLists.txt; } | sha256sum)

# One line for each source and each file that it depends on.
ninja -C build -t deps 2>/dev/null | awk -v root="$root" '
    /^[^ ].*#deps/ { source = ""; next }
    /^ / {
        path = $1
        if (path !~ /^\//) path = root "/build/" path
        gsub(/\/build\/\.\.\//, "/", path)
        if (source == "") source = path
        print source "\t" path
    }' | sort -u >"$work/pairs"
cut -f2 "$work/pairs" | sort -u | xargs -r -d '\n' sha256sum 2>/dev/null |
    awk '{ print $2 "\t" $1 }' >"$work/sums" || true

# The key of a source: the sums of all that it depends on.
awk -F'\t' -v root="$root/" '
    NR == FNR { sum[$1] = $2; next }
    { name = $1; sub(root, "", name); print name "\t" sum[$2] }
    ' "$work/sums" "$work/pairs" | sort -u >"$work/parts"

due=()
: >"$work/keys"
for file in "${files[@]}"; do
    [[ $file == *.cpp ]] || continue
    parts=$(awk -F'\t' -v file="$file" '$1 == file { print $2 }' "$work/parts")
    if [ -n "$parts" ]; then
        key=$(printf '%s\n%s\n' "$common" "$parts" | sha256sum | cut -d' ' -f1)
        printf '%s\t%s\n' "$file" "$key" >>"$work/keys"
        [ -e "$cache/$key" ] && continue
    fi
    due+=("$file")
done

check() {
    clang-tidy -p build --quiet "$1" || return 1
    key=$(awk -F'\t' -v file="$1" '$1 == file { print $2 }' "$2/keys")
    if [ -n "$key" ]; then
        : >"$3/$key"
    fi
}
export -f check
if [ ${#due[@]} -gt 0 ]; then
    printf '%s\n' "${due[@]}" |
        xargs -P "${LINT_JOBS:-$(nproc)}" -I{} bash -c 'check "$@"' _ {} "$work" "$cache" \
            2> >(grep -vE 'warnings? (generated|suppressed)|Suppressed|Use -header' >&2)
fi
echo "format and lint are clean: ${#files[@]} files, ${#due[@]} of them checked anew"
