#!/usr/bin/env bash
# Runs a case: run-3.sh FOLDER PROGRAM [ARGUMENT...]. Settings, logs and the
# record are written to a temporary folder; the record is kept in FOLDER.
set -uo pipefail
folder=$(cd "$1" && pwd)
root=$(cd "$(dirname "$0")/.." && pwd)
program=$root/target/review-3/$2
shift 2
daemon=$root/target/bin/basilstreamd
[ -x "$daemon" ] && [ -x "$program" ] || exit 2
work=$(mktemp -d)
timeout -k 5 118 "$program" "$daemon" "$work" "$@" "${TROUBLE:-1}"
status=$?
cp "$work/record.txt" "$folder/record.txt" 2>/dev/null
# The program has ended its daemons, unless it was itself cut short.
for settings in "$work"/*.json; do
    for process in /proc/[0-9]*; do
        if [ "$(readlink "$process/exe" 2>/dev/null)" = "$daemon" ] &&
            tr '\0' '\n' 2>/dev/null <"$process/cmdline" | grep -qxF "$settings"; then
            kill -KILL "${process#/proc/}" 2>/dev/null
        fi
    done
done
rm -rf "$work"
[ $status -le 2 ] && exit $status
exit 2
