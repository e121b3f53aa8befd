#!/usr/bin/env bash
# Runs a cell under load and injects faults: it kills, freezes and restarts instances and workers, empties
# data directories, cuts off zones and lets operators race. It then checks the records of the workers.
#
# SEED selects the faults, ROUNDS is their number.
set -u
cd "$(dirname "$0")/.."
BIN=${BIN:-$PWD/target/debug}
SEED=${SEED:-1}
ROUNDS=${ROUNDS:-40}
WORK=$(mktemp -d)
RANDOM=$SEED
. scripts/cell.sh
RESULT=1
MOVED=0
DAMAGED=0

finish() {
  end_cell
  kill "${SAMPLER:-}" "${LOADER:-}" 2>/dev/null
  if [ "$RESULT" = 0 ]; then rm -rf "$WORK"; else echo "records and logs are kept in $WORK"; fi
}
trap finish EXIT
trap 'exit 1' INT TERM

now_ms() { date +%s%3N; }
fault() { echo "$(now_ms) $1 $2" >>"$WORK/faults.log"; }
hv() { "$BIN/heathvale" "$@"; }
pick() { echo "${@:$((RANDOM % $# + 1)):1}"; }
say() { echo "$(date +%T) $*"; }

# Logs the kill once the process has ended, so that the logged time is an upper bound of its end.
kill_logged() {
  kill_now "$1"
  fault kill "$1"
}

restart() {
  case "$1" in
  *-w*) start_worker "$1" ;;
  *) start_instance "$1" ;;
  esac
}

kill_and_restart() {
  say "kill $1"
  kill_logged "$1"
  sleep "$2"
  restart "$1"
}

freeze() {
  say "freeze $1 for $2 s"
  fault freeze "$1"
  kill -STOP "${PIDS[$1]}"
  sleep "$2"
  kill -CONT "${PIDS[$1]}"
  fault thaw "$1"
}

members_whole() {
  [ "$(hv status 2>/dev/null | grep -c '  members za1 voter, zb1 voter, zc1 voter$')" = 6 ]
}

# Empties a data directory, but only while all members are voters: losing two disks of three loses the quorum.
empty_disk() {
  say "empty the data folder of $1"
  wait_until 40 members_whole || { say "the members are not whole; skipped" && return; }
  kill_logged "$1"
  rm -rf "$WORK/data-$1"
  restart "$1"
  wait_until 40 members_whole || say "the members are not whole again"
}

# Overwrites a synced byte of the log. The instance must refuse to start; with an empty data directory it then
# catches up from its peers.
damage_disk() {
  say "damage the log of $1"
  wait_until 40 members_whole || { say "the members are not whole; skipped" && return; }
  kill_logged "$1"
  local log="$WORK/data-$1/cell.log"
  printf '\xff' | dd of="$log" bs=1 seek=20 conv=notrunc 2>/dev/null
  start_instance "$1"
  wait "${PIDS[$1]}"
  local code=$?
  tail -20 "$WORK/$1.log" | grep -q 'is damaged at byte' && [ "$code" != 0 ] || {
    say "a damaged log was not refused" && DAMAGED=1
  }
  rm -rf "$WORK/data-$1"
  restart "$1"
  wait_until 40 members_whole || say "the members are not whole again"
}

# Refuses all links between the instances of zone $1 and all others for $2 seconds.
cut_zone() {
  say "cut zone $1 for $2 s"
  for name in "${INSTANCES[@]}"; do
    local refused=""
    for other in "${INSTANCES[@]}"; do
      if [ "${ZONE_OF[$name]}" = "$1" ] && [ "${ZONE_OF[$other]}" != "$1" ]; then refused+="$other"$'\n'; fi
      if [ "${ZONE_OF[$name]}" != "$1" ] && [ "${ZONE_OF[$other]}" = "$1" ]; then refused+="$other"$'\n'; fi
    done
    printf '%s' "$refused" >"$WORK/refuse-$name"
  done
  sleep "$2"
  heal
}

heal() { rm -f "$WORK"/refuse-*; }

# Lets two operators change the configuration from the same base version, each with a request key for its retries.
race() {
  local base
  base=$(hv config 2>/dev/null | awk 'NR == 1 { print $3 }')
  [ -n "$base" ] || return
  say "two operators race from version $base"
  for n in 1 2; do
    printf 'queue_limit_ms = %s\n' "$((200 + RANDOM % 300))" >"$WORK/race-$n.toml"
    timeout 60 "$BIN/heathvale" apply "$WORK/race-$n.toml" --base "$base" --key "race-$RANDOM-$n" \
      >"$WORK/race-$n.out" 2>/dev/null &
  done
  wait %% 2>/dev/null
  sleep 1
  for n in 1 2; do awk '/is accepted/ { print $2 }' "$WORK/race-$n.out" >>"$WORK/accepted.log"; done
}

wave() {
  say "create 10 jobs of 100 tasks and cancel them at once"
  {
    for n in $(seq 10); do
      printf '[[job]]\nname = "wave-%s-%s"\nteam = "w"\nkind = "batch"\ntasks = 100\n' "$1" "$n"
      printf 'cpu_milli = 2000\nmemory_mb = 100\nrun_time_ms = 3000\nclass = "bulk"\n'
    done
  } >"$WORK/wave.toml"
  timeout 60 "$BIN/heathvale" create "$WORK/wave.toml" >/dev/null 2>&1
  local names=()
  for n in $(seq 10); do names+=("wave-$1-$n"); done
  timeout 60 "$BIN/heathvale" cancel "${names[@]}" >/dev/null 2>&1
}

# Logs the configuration version of each instance every half second.
sample() {
  while true; do
    hv status 2>/dev/null | awk -v t="$(now_ms)" '/ zone / {
      for (i = 1; i < NF; i++) if ($i == "config" && $(i + 1) != "not-ready") print t, $1, $(i + 1) }' >>"$WORK/config.log"
    sleep 0.5
  done
}

load() {
  local n=0
  while [ ! -e "$WORK/enough" ]; do
    n=$((n + 1))
    "$BIN/heathvale" load --to "$CALLERS" --rate 120 --seconds 4 --once-percent 30 --work-ms 40 \
      --seed "$n" --answers "$WORK/load-$n.answers" >/dev/null 2>&1
  done
}

say "seed $SEED, $ROUNDS faults"
plan_cell 4
start_cell
touch "$WORK/faults.log" "$WORK/accepted.log"
wait_until 40 all_zones_allocated || exit 1
cat >"$WORK/jobs.toml" <<'TOML'
[[job]]
name = "service"
team = "a"
kind = "service"
tasks = 9
cpu_milli = 1500
memory_mb = 512
spread = "zone"

[[job]]
name = "fixed"
team = "a"
kind = "service"
tasks = 6
cpu_milli = 1500
memory_mb = 512
spread = "zone"
may_move = false

[[job]]
name = "batch"
team = "b"
kind = "batch"
tasks = 150
cpu_milli = 3000
memory_mb = 512
run_time_ms = 4000

[[job]]
name = "once"
team = "b"
kind = "batch"
tasks = 60
cpu_milli = 2000
memory_mb = 512
run_time_ms = 3000
repeatable = false
spread = "zone"

[[job]]
name = "gang"
team = "c"
kind = "gang"
tasks = 6
cpu_milli = 5000
memory_mb = 512
run_time_ms = 5000
TOML
hv create "$WORK/jobs.toml" || exit 1
race
sample &
SAMPLER=$!
load &
LOADER=$!

# The cut lasts long enough for movable tasks to be moved to other zones, while the zone itself must stop them.
cut_zone zb 25
hv timeline 2>/dev/null | grep -q share_moved || { say "no share has moved" && MOVED=1; }

for round in $(seq "$ROUNDS"); do
  name=$(pick "${INSTANCES[@]}")
  worker=$(pick "${WORKERS[@]}")
  case $((RANDOM % 13)) in
  0 | 1) kill_and_restart "$name" $((RANDOM % 3)) ;;
  2) freeze "$name" $((1 + RANDOM % 7)) ;;
  3 | 4) kill_and_restart "$worker" $((RANDOM % 5)) ;;
  5) freeze "$worker" $((1 + RANDOM % 6)) ;;
  6) empty_disk "$(pick za1 zb1 zc1)" ;;
  7) cut_zone "$(pick "${ZONES[@]}")" $((3 + RANDOM % 20)) ;;
  8) race ;;
  9) wave "$round" ;;
  10)
    other=$(pick "${INSTANCES[@]}")
    say "kill $name and $other together"
    kill_logged "$name"
    [ "$other" = "$name" ] || kill_logged "$other"
    sleep $((RANDOM % 4))
    restart "$name"
    [ "$other" = "$name" ] || restart "$other"
    ;;
  11) kill_and_restart "$worker" 1 && freeze "$name" 5 ;;
  12) damage_disk "$(pick za1 zb1 zc1)" ;;
  esac
  sleep 1
done

say "everything is repaired"
heal
touch "$WORK/enough"
wait "$LOADER"
all_ended() {
  hv list 2>/dev/null | awk '($1 == "batch" || $1 == "once" || $1 == "gang") && $5 == "ended" { n++ }
    END { exit n != 3 }'
}
services_run() { has_tasks_in service running 9 && has_tasks_in fixed running 6; }
RESULT=$((MOVED | DAMAGED))
wait_until 120 all_zones_allocated || { say "a zone has no allocator" && RESULT=1; }
wait_until 120 all_ended || { say "not all jobs have ended" && hv list && RESULT=1; }
wait_until 60 services_run || { say "not all services run" && RESULT=1; }
wait_until 40 members_whole || { say "the members are not whole" && RESULT=1; }
race
sleep 3
kill "$SAMPLER"
wait "$SAMPLER" 2>/dev/null
unset SAMPLER
say "snapshots taken $(cat "$WORK"/z*.log | grep -c ' E206 '), installed $(cat "$WORK"/z*.log | grep -c ' E205 ')"
say "shares moved $(cat "$WORK"/z*.log | grep -c ' E306 '), take-overs $(cat "$WORK"/z*.log | grep -c ' E401 ')"
"$BIN/examples/verdict" --run "$WORK" --least 2 || RESULT=1
exit "$RESULT"
