#!/usr/bin/env bash
# Installs packages, builds, runs a small deployment on loopback addresses and
# checks what must hold while processes die. Exits 0 only if all of it held.
# BASILSTREAM_SKIP_INSTALL=1 leaves out the packages.
set -uo pipefail
cd "$(dirname "$0")/.."
if [ -z "${BASILSTREAM_SKIP_INSTALL:-}" ]; then
    tools/install_packages.sh || exit 1
fi
tools/build.sh basilstreamd basilctl basilload fake_runner fake_log \
    fake_service fake_vm_list fake_weight_store >/dev/null || exit 1
SECONDS=0
find_program() { find build -type f -name "$1" -perm -u+x | head -n 1; }
daemon_program=$(find_program basilstreamd)
control_program=$(find_program basilctl)
load_program=$(find_program basilload)

work=$(mktemp -d)
declare -A pid=() address=() admin=()
failures=0

stop_all() {
    for name in "${!pid[@]}"; do kill -9 "${pid[$name]}" 2>/dev/null; done
    wait 2>/dev/null
    if [ "$failures" -eq 0 ]; then rm -rf "$work"; else echo "logs: $work"; fi
}
trap stop_all EXIT

fail_start() { echo "could not start $1"; failures=1; exit 1; }

# start NAME PROGRAM ARGUMENTS...: runs a program and reads its address.
start() {
    local name=$1 line=
    shift
    "$@" >"$work/$name.out" 2>"$work/$name.log" &
    pid[$name]=$!
    for _ in $(seq 200); do
        line=$(grep -m 1 '^listening ' "$work/$name.out") && break
        kill -0 "${pid[$name]}" 2>/dev/null || fail_start "$name"
        sleep 0.05
    done
    [ -n "$line" ] || fail_start "$name"
    address[$name]=$(sed -E 's/^listening (callers=)?([^ ]*).*/\2/' <<<"$line")
    admin[$name]=$(sed -nE 's/.*admin=([^ ]*).*/\1/p' <<<"$line")
}

# end NAME SIGNAL: ends a program that this script started; sets `status`.
end() {
    kill "-$2" "${pid[$1]}"
    wait "${pid[$1]}" 2>/dev/null
    status=$?
    unset "pid[$1]"
}

report=()
# check "WHAT" CONDITION...: notes whether a command succeeds.
check() {
    local what=$1 verdict=held
    shift
    if ! "$@"; then verdict=BROKEN; failures=$((failures + 1)); fi
    report+=("$(printf '%-7s %s' "$verdict" "$what")")
    echo "${report[-1]}"
}

ask() { curl -sS --max-time 20 "$@" 2>>"$work/curl.log"; }
json_number() { grep -oE "\"$1\": ?[0-9]+" | head -n 1 | grep -oE '[0-9]+$'; }
faults() { ask -o /dev/null "${address[$1]}/testing/faults" -d "$2"; }

# --- The deployment -------------------------------------------------------
zones=(muc-a muc-b muc-c)
memory=40000000000
echo "starting stand-ins, eight runners and three daemons"
start log "$(find_program fake_log)"
start weights "$(find_program fake_weight_store)" --load-ms 500 \
    --loads-per-second 8
start service_1 "$(find_program fake_service)"
start service_2 "$(find_program fake_service)"
vms=
add_vm() { vms+="${vms:+,}$1"; }
for n in 1 2 3 4 5 6 7 8; do
    # Every second engine does not check fencing numbers.
    flags=()
    [ $((n % 2)) -eq 0 ] && flags=(--ignore-fencing)
    start "runner_$n" "$(find_program fake_runner)" --memory-bytes "$memory" \
        --weight-store "${address[weights]}" --report-lag-ms 100 "${flags[@]}"
    add_vm "{\"name\":\"runner-$n\",\"address\":\"${address[runner_$n]}\",\
\"kind\":\"runner\",\"zone\":\"${zones[$((n % 3))]}\",\"state\":\"live\",\
\"memory_bytes\":$memory}"
done
add_vm "{\"name\":\"service-1\",\"address\":\"${address[service_1]}\",\
\"kind\":\"service\",\"zone\":\"muc-a\",\"state\":\"live\",\
\"service\":\"angebotswerk/tenders\"}"
add_vm "{\"name\":\"service-2\",\"address\":\"${address[service_2]}\",\
\"kind\":\"service\",\"zone\":\"muc-b\",\"state\":\"live\",\
\"service\":\"banevagt/entries\"}"
echo "[$vms]" >"$work/vms.json"
start vm_list "$(find_program fake_vm_list)" --file "$work/vms.json" \
    --lag-ms 500
seed=
for n in 1 2 3; do
    cat >"$work/daemon-$n.json" <<SETTINGS
{"name": "entry-$n", "zone": "${zones[$((n - 1))]}",
 "caller": {"address": "127.0.0.$n", "port": 0},
 "admin": {"address": "127.0.0.$n", "port": 0},
 "peer": {"address": "127.0.0.$n", "port": 0, "seeds": [$seed]},
 "platform": {"log_url": "http://${address[log]}",
              "vm_list_url": "http://${address[vm_list]}"},
 "deployment": {"loads_per_second": 8, "loads_at_once": 25},
 "endpoint_time_to_live_ms": 1000,
 "logging": {"level": "info"}}
SETTINGS
    start "daemon_$n" "$daemon_program" --config "$work/daemon-$n.json"
    peer=$(sed -nE 's/.*peers=([^ ]*).*/\1/p' "$work/daemon_$n.out")
    [ "$n" -eq 1 ] && seed="\"$peer\""
    ask -o /dev/null "${address[vm_list]}/testing/vm" -d "{\"name\":\"entry-$n\",\
\"address\":\"${address[daemon_$n]}\",\"peer_address\":\"$peer\",\
\"kind\":\"entry\",\"zone\":\"${zones[$((n - 1))]}\",\"state\":\"live\"}"
done

# --- Two organisations, about a fifth of the size of today's --------------
hash_of() { printf %s "$1" | sha256sum | cut -d' ' -f1; }
models=() targets=
declare -A token=([angebotswerk]=demo-angebotswerk [banevagt]=demo-banevagt)
# declare_organisation NAME MODELS ADAPTERS SERVICE MOVE_PRICE
declare_organisation() {
    local list n name
    list="{\"kind\":\"organisation\",\"name\":\"$1\",\"move_price\":$5,\
\"token_hashes\":[\"$(hash_of "${token[$1]}")\"]},\
{\"kind\":\"service\",\"organisation\":\"$1\",\"name\":\"$4\",\
\"non_idempotent_methods\":[\"POST\"]}"
    for n in $(seq "$2"); do
        list+=",{\"kind\":\"model\",\"organisation\":\"$1\",\"name\":\"m$n\",\
\"versions\":[\"v1\"],\"memory_bytes\":8000000000,\"minimum_replicas\":2}"
        models+=("$1/m$n")
        targets+="${targets:+,}{\"model\":\"$1/m$n\",\"token\":\"${token[$1]}\"}"
    done
    for n in $(seq "$3"); do
        name=$((n % $2 + 1))
        list+=",{\"kind\":\"adapter\",\"organisation\":\"$1\",\"name\":\"a$n\",\
\"model\":\"m$name\",\"memory_bytes\":100000000,\"minimum_replicas\":2}"
        models+=("$1/m$name:a$n")
        targets+=",{\"model\":\"$1/m$name\",\"adapter\":\"a$n\",\
\"token\":\"${token[$1]}\"}"
    done
    echo "[$list]" >"$work/$1.json"
}
declare_organisation angebotswerk 7 19 tenders 0.2
declare_organisation banevagt 4 22 entries 0.02
echo "[$targets]" >"$work/targets.json"
cat README.md CONTRIBUTING.md docs/*.md >"$work/prompts.txt"

export BASILSTREAM_LOG="http://${address[log]}"
admins() {
    local list=
    for n in 1 2 3; do
        [ -n "${pid[daemon_$n]:-}" ] && list+="${list:+,}${admin[daemon_$n]}"
    done
    echo "$list"
}
apply() {
    BASILSTREAM_ADMIN=$(admins) "$control_program" --timeout 30 -f "$1" apply \
        >>"$work/apply.log" 2>&1
}
check "angebotswerk is accepted and in force" apply "$work/angebotswerk.json"
check "banevagt is accepted and in force" apply "$work/banevagt.json"

# --- Callers --------------------------------------------------------------
# complete DAEMON MODEL TOKEN: prints a streamed answer.
complete() {
    ask -N "${address[$1]}/v1/completions" -H "Authorization: Bearer $3" \
        -d "{\"model\":\"$2\",\"prompt\":\"Please summarise the brief.\",\
\"max_tokens\":4,\"stream\":true}"
}
answers() { complete "$1" "$2" "${token[${2%%/*}]}" | grep -q '\[DONE\]'; }
# all_answer SECONDS DAEMON...: every model and adapter answers in time.
all_answer() {
    local until=$((SECONDS + $1)) index=0 name
    shift
    local daemons=("$@")
    for name in "${models[@]}"; do
        until answers "${daemons[$((index % ${#daemons[@]}))]}" "$name"; do
            if [ "$SECONDS" -ge "$until" ]; then
                echo "no answer from $name"
                return 1
            fi
            sleep 0.2
        done
        index=$((index + 1))
    done
}
check "all ${#models[@]} models and adapters answer" \
    all_answer 40 daemon_1 daemon_2 daemon_3
is_hidden() {
    complete daemon_1 banevagt/m1 "${token[angebotswerk]}" |
        grep -q '"code":"not_found"'
}
check "another organisation's model is as if it did not exist" is_hidden
is_refused() {
    complete daemon_2 banevagt/m1 wrong | grep -q '"code":"unauthenticated"'
}
check "a wrong token is refused" is_refused

# submit DAEMON KEY: prints the answer of a keyed submission.
submit() {
    ask "${address[$1]}/services/angebotswerk/tenders/submissions" \
        -H "Authorization: Bearer ${token[angebotswerk]}" \
        -H "Idempotency-Key: $2" -d "the offer"
}
times_run() {
    ask "${address[service_1]}/testing/books" | json_number "$1" || echo 0
}
repeat_is_the_same() {
    local first second
    first=$(submit daemon_1 tender-1)
    second=$(submit daemon_2 tender-1)
    grep -q '"times":1' <<<"$first" && [ "$first" = "$second" ] &&
        [ "$(times_run tender-1)" -eq 1 ]
}
check "a repeat by another daemon gets the same answer, run once" \
    repeat_is_the_same

# --- Load while things die -------------------------------------------------
# load NAME RATE MILLISECONDS PATTERN: runs in the background.
load() {
    "$load_program" --json --targets "$work/targets.json" \
        --prompts "$work/prompts.txt" --rate "$2" --length-ms "$3" \
        --pattern "$4" --max-tokens 32 --accelerators 8 \
        --address "${address[daemon_1]}" >"$work/$1.json" 2>"$work/$1.log" &
    pid[$1]=$!
}
# load_ended NAME: waits; succeeds when no answer was wrong or short.
load_ended() {
    local process=${pid[$1]}
    unset "pid[$1]"
    wait "$process"
}
value_of() { json_number "$2" <"$work/$1.json"; }
nearly_all_ok() {
    local all ok
    all=$(value_of "$1" requests) ok=$(value_of "$1" ok)
    echo "        $1: ${ok:-0} of ${all:-0} whole and right"
    [ "${all:-0}" -gt 0 ] && [ $((${ok:-0} * 100)) -ge $((all * 99)) ]
}

load kills 30 12000 steady
faults service_1 '{"slow_ms":1500}'
submit daemon_3 tender-2 >/dev/null &
for _ in $(seq 100); do
    [ "$(times_run tender-2)" = 1 ] && break
    sleep 0.05
done
end daemon_3 KILL
faults service_1 '{"slow_ms":0}'
end runner_8 KILL
repeat_after_kill() {
    local answer
    for _ in $(seq 60); do
        answer=$(submit daemon_1 tender-2)
        grep -qE '"times":1|"code":"outcome_unknown"' <<<"$answer" && break
        answer=
        sleep 0.5
    done
    [ -n "$answer" ] && [ "$(times_run tender-2)" -eq 1 ]
}
check "a submission whose daemon was killed is repeated, run once" \
    repeat_after_kill
check "no wrong or silently short answer while a daemon and a runner died" \
    load_ended kills
check "99 in 100 requests were answered all the same" nearly_all_ok kills
check "all models and adapters answer without them" \
    all_answer 30 daemon_1 daemon_2

load drain 30 8000 burst
sleep 2
end daemon_2 TERM
check "the drained daemon ended by itself with status 0" [ "$status" -eq 0 ]
check "no wrong or silently short answer while a daemon drained" \
    load_ended drain
none_cut() { grep -q '"failed_attempts": {}' "$work/drain.json"; }
check "the drain cut off no request and refused no connection" none_cut

ask -o /dev/null "${address[vm_list]}/testing/vm" \
    -d '{"name":"runner-7","state":"leaving"}'
sleep 5
generations() {
    ask "${address[runner_7]}/testing/books" | grep -o '"request_id"' | wc -l
}
before=$(generations)
load leaving 30 3000 steady
check "no wrong or silently short answer while a runner left" \
    load_ended leaving
got_nothing() { [ "$before" -gt 0 ] && [ "$(generations)" -eq "$before" ]; }
check "a leaving runner got nothing new after five seconds" got_nothing

memory_held() {
    local n books peak
    for n in 1 2 3 4 5 6 7; do
        books=$(ask "${address[runner_$n]}/testing/books")
        peak=$(json_number peak_used_bytes <<<"$books")
        [ "${peak:-$((memory + 1))}" -le "$memory" ] &&
            [ "$(json_number memory_refusals <<<"$books")" -eq 0 ] || return 1
    done
}
check "no runner's memory was asked for beyond its capacity" memory_held

echo
printf '%s\n' "${report[@]}"
echo "${#report[@]} checks, $failures broken, ${SECONDS} s"
[ "$failures" -eq 0 ]
