#!/usr/bin/env bash
# Runs the case of a folder: review/run-2.sh FOLDER. Exits with 1 if the rule
# was broken, 0 if it held, 2 if the case could not run.
set -u
folder=$(cd "$1" && pwd) || exit 2
cd "$(dirname "$0")/.." || exit 2
program=target/review-2/case-$(basename "$folder")
if [ ! -x target/bin/basilstreamd ] || [ ! -x "$program" ]; then
    echo "not built: run the build of deploy/system.toml and review/build-2.sh" >&2
    exit 2
fi
temporary=$(mktemp -d) || exit 2
trap 'rm -rf "$temporary"' EXIT
timeout --signal=TERM --kill-after=2 117 "$program" "$folder/record.txt" "$temporary"
code=$?
case $code in
0 | 1) exit "$code" ;;
*) exit 2 ;;
esac
