#!/usr/bin/env bash
# Measures a whole cell on loopback: configuration changes, take-over of zones, requests and the cost of the
# control plane. Prints one line per figure. Times come from polling the command-line tool, so their resolution
# is about 50 ms.
set -u
cd "$(dirname "$0")/.."
BIN=${BIN:-$PWD/target/release}
WORK=$(mktemp -d)
. scripts/cell.sh
trap 'end_cell; rm -rf "$WORK"' EXIT
trap 'exit 1' INT TERM

now_ms() { date +%s%3N; }
hv() { "$BIN/heathvale" "$@"; }
figure() { echo "figure $1 $2 $3"; }

# Prints the median and 99th percentile of the numbers on standard input.
quantiles() {
  sort -n | awk -v n="$1" -v u="$2" '{ v[NR] = $1 } END {
    if (NR == 0) exit
    p = int((NR - 1) * 0.5) + 1; q = int((NR - 1) * 0.99 + 0.5) + 1
    print "figure " n "_p50 " v[p] " " u; print "figure " n "_p99 " v[q] " " u }'
}

versions() { hv status 2>/dev/null | awk '/ zone / { for (i = 1; i < NF; i++) if ($i == "config") print $(i + 1) }'; }

in_force_everywhere() {
  [ "$(versions | sort -u)" = "$1" ] && [ "$(versions | wc -l)" = "${#INSTANCES[@]}" ]
}

configuration() {
  local version=0
  for n in $(seq 30); do
    printf 'queue_limit_ms = %s\n' $((300 + n)) >"$WORK/c.toml"
    local begun
    begun=$(now_ms)
    version=$(hv apply "$WORK/c.toml" --base "$version" | awk '{ print $2 }')
    local accepted
    accepted=$(now_ms)
    until in_force_everywhere "$version"; do :; done
    echo "$((accepted - begun)) $(($(now_ms) - accepted))"
  done >"$WORK/config.txt"
  awk '{ print $1 }' "$WORK/config.txt" | quantiles configuration_accepted ms
  awk '{ print $2 }' "$WORK/config.txt" | quantiles configuration_in_force_after_accepted ms
}

# Measures a burst of changes from ten operators, each of which retries after a version conflict.
burst() {
  local begun
  begun=$(now_ms)
  local operators=()
  for n in $(seq 10); do
    (
      made=0
      while [ "$made" -lt 10 ]; do
        printf 'queue_limit_ms = %s\n' $((400 + n * 10 + made)) >"$WORK/b$n.toml"
        base=$(hv config | awk 'NR == 1 { print $3 }')
        hv apply "$WORK/b$n.toml" --base "$base" >/dev/null 2>&1 && made=$((made + 1))
      done
    ) &
    operators+=($!)
  done
  wait "${operators[@]}"
  figure configuration_burst_of_100 "$(($(now_ms) - begun))" ms
}

processor_ms() { awk '{ sub(/.*\) /, ""); print ($12 + $13) * 10 }' "/proc/$1/stat"; }
resident_mb() { awk '/VmRSS/ { printf "%.1f", $2 / 1024 }' "/proc/$1/status"; }
loopback_bytes() { awk '/lo:/ { print $2 }' /proc/net/dev; }

control_cost() {
  local seconds=10 before_bytes
  declare -A before=()
  for i in "${INSTANCES[@]}"; do before[$i]=$(processor_ms "${PIDS[$i]}"); done
  before_bytes=$(loopback_bytes)
  sleep "$seconds"
  local bytes=$(($(loopback_bytes) - before_bytes)) spent=0 most=0 memory=0
  for i in "${INSTANCES[@]}"; do
    local ms=$(($(processor_ms "${PIDS[$i]}") - before[$i]))
    spent=$((spent + ms))
    [ "$ms" -gt "$most" ] && most=$ms
    memory=$(printf '%s\n%s\n' "$memory" "$(resident_mb "${PIDS[$i]}")" | sort -n | tail -1)
  done
  figure "control_processor_mean_$1" "$(awk -v s="$spent" -v n="${#INSTANCES[@]}" -v t="$seconds" \
    'BEGIN { printf "%.2f", s / n / t / 10 }')" percent_of_a_core
  figure "control_processor_most_$1" "$(awk -v s="$most" -v t="$seconds" \
    'BEGIN { printf "%.2f", s / t / 10 }')" percent_of_a_core
  figure "control_memory_most_$1" "$memory" MB
  figure "control_network_all_$1" "$((bytes / seconds))" bytes_per_s
}

all_processor_ms() {
  local sum=0
  for i in "${INSTANCES[@]}"; do sum=$((sum + $(processor_ms "${PIDS[$i]}"))); done
  echo "$sum"
}

requests() {
  local before
  before=$(all_processor_ms)
  hv load --to "$CALLERS" --rate 1000 --seconds 8 --work-ms 5 --once-percent "$1" >"$WORK/load.txt"
  awk -v n="$1" '/goodput/ { print "figure request_goodput_at_1000_once_" n " " $2 " per_s" }
    / done in / { print "figure request_done_in_" $1 "_once_" n "_p50 " $5 " ms"
                  print "figure request_done_in_" $1 "_once_" n "_p99 " $9 " ms" }' "$WORK/load.txt"
  figure "control_processor_per_request_once_$1" "$((($(all_processor_ms) - before) * 1000 / 8000))" us
}

allocator_of() { hv status 2>/dev/null | awk -v z="$1" '$3 == z && / allocates$/ { print $1 }'; }

take_over() {
  for zone in "${ZONES[@]}"; do
    local holder
    holder=$(allocator_of "$zone")
    local begun
    begun=$(now_ms)
    kill_now "$holder"
    until [ -n "$(allocator_of "$zone")" ]; do sleep 0.05; done
    echo "$(($(now_ms) - begun))"
    start_instance "$holder"
    sleep 3
  done >"$WORK/take-over.txt"
  quantiles take_over_of_a_zone ms <"$WORK/take-over.txt"
}

elections() {
  for _ in 1 2 3; do
    local leader begun
    leader=$(hv status | awk '$4 == "leader" { print $1; exit }')
    begun=$(now_ms)
    kill_now "$leader"
    until hv status 2>/dev/null | awk -v l="$leader" '$4 == "leader" && $1 != l { f = 1 } END { exit !f }'
    do sleep 0.05; done
    echo "$(($(now_ms) - begun))"
    start_instance "$leader"
    sleep 3
  done >"$WORK/elections.txt"
  quantiles election_of_a_leader ms <"$WORK/elections.txt"
}

# Measures the mean CPU time of the three allocators. Called for two sizes of a zone, which gives the slope.
allocators_cost() {
  local seconds=10 spent=0 holders=()
  for zone in "${ZONES[@]}"; do holders+=("$(allocator_of "$zone")"); done
  for h in "${holders[@]}"; do spent=$((spent - $(processor_ms "${PIDS[$h]}"))); done
  sleep "$seconds"
  for h in "${holders[@]}"; do spent=$((spent + $(processor_ms "${PIDS[$h]}"))); done
  figure "allocator_processor_$1_workers" "$(awk -v s="$spent" -v t="$seconds" \
    'BEGIN { printf "%.2f", s / 3 / t / 10 }')" percent_of_a_core
}

for size in 4 24; do
  plan_cell "$size"
  start_cell
  wait_until 30 all_zones_allocated || exit 1
  sleep 2
  allocators_cost "$size"
  [ "$size" = 4 ] || control_cost "with_$((size * 3))_workers"
  end_cell
  rm -rf "$WORK"/data-*
done

plan_cell 4
start_cell
wait_until 30 all_zones_allocated || exit 1
control_cost idle
configuration
burst
requests 0
requests 100
take_over
elections
