#!/usr/bin/env bash
# The daemon's own cost: the load tool against stand-in runners directly,
# through a bare relay, and through one daemon, in one run on one machine.
# Prints a table; exits 0 only if every answer was right. Takes about a minute.
# Usage: tools/benchmark.sh [RATE] [SECONDS]
set -euo pipefail
cd "$(dirname "$0")/.."
rate=${1:-100} length_ms=$((${2:-8} * 1000))
tools/build.sh basilstreamd basilctl basilload bare_relay fake_runner fake_log \
    fake_vm_list >/dev/null
load=build/bench/load/basilload
work=$(mktemp -d)
declare -A pid address admin
stop_all() {
    for name in "${!pid[@]}"; do kill -9 "${pid[$name]}" 2>/dev/null || true; done
    wait 2>/dev/null || true
    rm -rf "$work"
}
trap stop_all EXIT

start() {
    local name=$1
    shift
    "$@" >"$work/$name.out" 2>"$work/$name.log" &
    pid[$name]=$!
    for _ in $(seq 200); do
        grep -q '^listening ' "$work/$name.out" && break
        sleep 0.05
    done
    address[$name]=$(sed -nE 's/^listening (callers=)?([^ ]*).*/\2/p' "$work/$name.out")
    admin[$name]=$(sed -nE 's/.*admin=([^ ]*).*/\1/p' "$work/$name.out")
    [ -n "${address[$name]}" ] || { echo "could not start $name" >&2; exit 1; }
}

# The runner gives each stream a token every 20 ms, however many there are.
start runner build/testing/runner/fake_runner --slots=4000 --queue=4000 \
    --step-ms=20 --step-per-sequence-ms=0 --memory-bytes=1000
start log build/testing/log_service/fake_log
cat >"$work/vms.json" <<J
[{"name":"r1","address":"${address[runner]}","kind":"runner","zone":"a",
  "state":"live","memory_bytes":1000}]
J
start vms build/testing/vm_list/fake_vm_list --file="$work/vms.json"
cat >"$work/entry.json" <<J
{"name":"entry-1","zone":"a","caller":{"address":"127.0.0.1","port":0,
 "max_connections":8192},"peer":{"address":"127.0.0.1","port":0},
 "platform":{"log_url":"http://${address[log]}",
             "vm_list_url":"http://${address[vms]}"},
 "requests":{"max_open_requests":8192},"logging":{"level":"warning"}}
J
start daemon build/bin/basilstreamd --config "$work/entry.json"
start relay build/bench/relay/bare_relay "${address[runner]}"
hash=$(printf bench | sha256sum | cut -d' ' -f1)
cat >"$work/resources.json" <<J
[{"kind":"organisation","name":"bench","token_hashes":["$hash"]},
 {"kind":"model","organisation":"bench","name":"m","versions":["v1"],
  "memory_bytes":100}]
J
build/bin/basilctl --log "http://${address[log]}" --admin "${admin[daemon]}" \
    apply -f "$work/resources.json" >/dev/null
echo '[{"model":"bench/m","token":"bench","version":"v1"}]' >"$work/targets.json"
cat README.md docs/*.md >"$work/prompts.txt"
for _ in $(seq 200); do
    curl -s -o /dev/null -w '%{http_code}' "http://${address[daemon]}/v1/completions" \
        -H 'Authorization: Bearer bench' \
        -d '{"model":"bench/m","prompt":"x","max_tokens":1}' | grep -q 200 && break
    sleep 0.1
done

ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
resident_kb() { awk '/^VmRSS/ {print $2}' "/proc/$1/status"; }
number() { grep -oE "\"$2\": ?[0-9.]+" "$work/$1.json" | head -n "${3:-1}" | tail -n 1 | grep -oE '[0-9.]+$'; }
# percentile NAME P: of the time to the first token
percentile() { tr -d ' \n' <"$work/$1.json" | grep -oE '"first_token_ms":\{[^}]*\}' | grep -oE "\"$2\":[0-9.]+" | cut -d: -f2; }

# measure NAME PROCESS LOAD-ARGUMENTS...
measure() {
    local name=$1 process=$2 before=0 after=0
    shift 2
    [ -n "$process" ] && before=$(ticks "${pid[$process]}")
    "$load" --targets="$work/targets.json" --prompts="$work/prompts.txt" \
        --prompt-bytes=400 --max-open=8000 --max-requests=1000000 \
        --deadline-ms=30000 --json "$@" >"$work/$name.json" ||
        { echo "$name: wrong answers" >&2; cat "$work/$name.json" >&2; exit 1; }
    [ -n "$process" ] && after=$(ticks "${pid[$process]}")
    cpu[$name]=$(awk -v t=$((after - before)) -v hz="$(getconf CLK_TCK)" 'BEGIN {print t / hz}')
}
declare -A cpu
for name in direct relay daemon; do
    case $name in
    direct) target=(--direct "--address=${address[runner]}") process= ;;
    relay) target=(--direct "--address=${address[relay]}") process=relay ;;
    daemon) target=("--address=${address[daemon]}") process=daemon ;;
    esac
    measure "$name" "$process" "${target[@]}" --rate="$rate" \
        --length-ms="$length_ms" --max-tokens=100
done
printf '%-8s %9s %9s %9s %9s %12s %12s\n' through requests ok 'p50 ms' 'p99 ms' 'tokens/core' 'requests/core'
for name in direct relay daemon; do
    awk -v n="$name" -v r="$(number $name requests)" -v o="$(number $name ok)" \
        -v a="$(percentile $name p50)" -v b="$(percentile $name p99)" \
        -v t="$(number $name tokens)" -v c="${cpu[$name]}" 'BEGIN {
            printf("%-8s %9d %9d %9.2f %9.2f %12s %12s\n", n, r, o, a, b,
                (c > 0 ? sprintf("%.0f", t / c) : "-"),
                (c > 0 ? sprintf("%.0f", r / c) : "-"))}'
done

# Memory of 2,000 streams that are open together.
idle=$(resident_kb "${pid[daemon]}")
"$load" --targets="$work/targets.json" --prompts="$work/prompts.txt" \
    --prompt-bytes=400 --max-open=8000 --max-requests=2000 --rate=1000 \
    --length-ms=2000 --max-tokens=255 --deadline-ms=60000 --json \
    --address="${address[daemon]}" >"$work/many.json" &
loader=$!
most=0
while kill -0 "$loader" 2>/dev/null; do
    open=$(curl -s "http://${admin[daemon]}/status" | grep -oE '"open_completions":[0-9]+' | cut -d: -f2)
    now=$(resident_kb "${pid[daemon]}")
    if [ "${open:-0}" -gt "$most" ]; then most=$open; at_most=$now; fi
    sleep 0.1
done
wait "$loader"
echo "streams open at once: $most; memory idle $((idle / 1024)) MB, then $((at_most / 1024)) MB"
