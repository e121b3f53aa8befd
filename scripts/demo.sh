#!/usr/bin/env bash
# Demonstrates a whole cell on loopback: it places and runs jobs of different kinds, serves requests end to
# end, and survives a kill -9 of each kind of process. Each step is checked, and the exit code is 0 only if
# all checks pass. All processes are stopped at the end; logs are kept only after a failure.
set -u
cd "$(dirname "$0")/.."
BIN=${BIN:-$PWD/target/debug}
WORK=$(mktemp -d)
. scripts/cell.sh
FAILED=0

finish() {
  end_cell
  if [ "$FAILED" = 0 ]; then rm -rf "$WORK"; else echo "logs are kept in $WORK"; fi
}
trap finish EXIT
trap 'exit 1' INT TERM

step() { printf '\n== %s\n' "$*"; }

# check TEXT COMMAND...: runs the command, prints whether it succeeded and records a failure.
check() {
  local text=$1
  shift
  if "$@" >/dev/null 2>&1; then
    echo "   ok: $text"
  else
    echo "   FAILED: $text"
    FAILED=1
  fi
}

hv() { "$BIN/heathvale" "$@"; }

job_is() { hv list 2>/dev/null | awk -v j="$1" -v s="$2" '$1 == j && $5 == s { ok = 1 } END { exit !ok }'; }

# Sends 200 requests with seed $1 and checks that each got a complete answer and at least $2 were done.
load_is_served() {
  local out
  out=$(hv load --to "$CALLERS" --rate 100 --seconds 2 --once-percent 20 --seed "$1") || return 1
  echo "$out" >"$WORK/load-$1.txt"
  grep -q 'answers not whole or for another request: 0' <<<"$out" || return 1
  grep -q '^sent 200 answered 200 ' <<<"$out" || return 1
  local done
  done=$(awk '$2 == "done" && NF == 3 { n += $3 } END { print n + 0 }' <<<"$out")
  [ "$done" -ge "$2" ]
}

step "1. Start a cell: 3 availability zones, 2 instances and 4 workers in each"
plan_cell 4
start_cell
echo "   instances ${INSTANCES[*]}; those ending in 1 have a data folder and agree on the cell state"
check "each zone has exactly one allocator" wait_until 30 all_zones_allocated

step "2. Create a service, a batch job and a gang job (examples/demo-jobs.toml)"
hv create examples/demo-jobs.toml
check "the service's 3 tasks run" wait_until 10 has_tasks_in waitlist-watch running 3
check "the gang ran to its end, all 4 tasks at once" wait_until 20 job_is transcript-gang ended
check "the batch job ran to its end" wait_until 20 job_is nightly-match ended

step "3. Serve callers' requests end to end, one in five of them not repeatable"
check "200 requests answered whole, at least 195 done" load_is_served 1 195

step "4. Refuse faulty input with its place, changing nothing"
printf '[[job]]\nname = "bad name"\nkind = "batch"\ntypo = 1\n' >"$WORK/faulty.toml"
hv create "$WORK/faulty.toml" 2>"$WORK/faulty.txt"
check "the exit code is 2" [ $? = 2 ]
check "the unknown key is named with line and column" grep -q 'faulty.toml:4:1' "$WORK/faulty.txt"

step "5. Apply a configuration; an operator who was too late is told so"
hv apply examples/plassvakt.toml --base 0
check "a second change from the same version is refused" \
  bash -c "! $BIN/heathvale apply examples/zapisnik.toml --base 0"
same_everywhere() {
  [ "$(hv status | awk '/ zone / { for (i = 1; i < NF; i++) if ($i == "config") print $(i + 1) }' |
    sort -u | wc -l)" = 1 ] && ! hv status | grep -qE ' config (0|not-ready) '
}
check "one version is in force on all six instances" wait_until 5 same_everywhere

step "6. kill -9 of the leader, an allocator, a worker and the platform's list, each restarted"
leader=$(hv status | awk '$4 == "leader" { print $1; exit }')
echo "   the leader is $leader"
kill_now "$leader"
check "another instance leads" wait_until 15 bash -c \
  "$BIN/heathvale status 2>/dev/null | grep -v '^$leader ' | grep -q ' leader leader '"
start_instance "$leader"
# Only the instances of a zone keep its events, and they copy them from each other. The zone's allocator, which
# may be the other instance, must not be killed before this one has copied the events again.
check "$leader is back" wait_until 15 bash -c \
  "$BIN/heathvale status | grep '^$leader ' | grep -vq not-ready"
sleep 1
allocator=$(hv status | awk '/ allocates$/ { print $1; exit }')
echo "   an allocator is $allocator"
kill_now "$allocator"
start_instance "$allocator"
check "each zone has its allocator again" wait_until 30 all_zones_allocated
check "the service's 3 tasks are accounted for" wait_until 20 has_tasks_in waitlist-watch running 3
worker=$(hv show waitlist-watch | awk 'NR == 2 { print $3 }')
echo "   the worker $worker runs the service's first task"
kill_now "$worker"
start_worker "$worker"
kill_now platform
start_platform
check "the service's 3 tasks run again" wait_until 20 has_tasks_in waitlist-watch running 3
gang_zone=$(hv show transcript-gang | awk 'NR == 2 { print $2 }')
for name in "${gang_zone}1" "${gang_zone}2"; do
  kill_now "$name"
  start_instance "$name"
  check "$name, in whose zone the gang ran, is back" wait_until 15 bash -c \
    "$BIN/heathvale timeline --job transcript-gang --on $name >/dev/null &&
     $BIN/heathvale status | grep '^$name ' | grep -vq not-ready"
  sleep 1
done
check "each zone has its allocator again" wait_until 30 all_zones_allocated
check "the ended jobs are still known" job_is nightly-match ended
check "200 requests answered whole, at least 190 done" load_is_served 2 190

# Stops instance $1 with SIGTERM while callers send requests to it, and checks that no request is cut off.
stop_under_load() {
  local stopped=$1
  hv load --to "$HOST:${CALLER_PORT[$stopped]}" --rate 50 --seconds 2 --work-ms 200 \
    >"$WORK/stop-$stopped.txt" &
  local load=$!
  sleep 1
  kill -TERM "${PIDS[$stopped]}"
  wait "$load"
  check "no request to $stopped broke off" \
    bash -c "! grep -qE 'may-have-run|failed' $WORK/stop-$stopped.txt"
  check "$stopped ended by itself with exit code 0" wait "${PIDS[$stopped]}"
  unset "PIDS[$stopped]"
}

step "7. Planned stops under load lose no request: the leader, then an allocator"
leader=$(hv status | awk '$4 == "leader" { print $1 }' | head -1)
stop_under_load "$leader"
check "another instance leads" wait_until 15 bash -c \
  "$BIN/heathvale status 2>/dev/null | grep -q ' leader leader '"
start_instance "$leader"
check "each zone has its allocator" wait_until 30 all_zones_allocated
allocator=$(hv status | awk '/ allocates$/ { print $1 }' | head -1)
stop_under_load "$allocator"
others=$(for i in "${INSTANCES[@]}"; do
  [ "$i" = "$allocator" ] || printf '%s:%s,' "$HOST" "${CALLER_PORT[$i]}"
done)
check "the rest goes on serving" bash -c \
  "$BIN/heathvale load --to ${others%,} --rate 50 --seconds 1 | grep -q 'request: 0'"
check "the other instance of its zone allocates at once" wait_until 30 all_zones_allocated
start_instance "$allocator"

step "8. One time line over all instances"
hv timeline --job transcript-gang
check "it tells of the gang's start and end" bash -c \
  "$BIN/heathvale timeline --job transcript-gang | grep -q 'job_ended'"

step "Done"
if [ "$FAILED" = 0 ]; then echo "   every check held"; else echo "   some checks FAILED"; fi
exit "$FAILED"
