# Functions that start and stop a cell on loopback: instances and simulated workers. Sourced by demo.sh,
# prove.sh and bench-cell.sh. The shell starts all processes, since none of the programs starts another.
#
# Needs BIN (directory of the programs) and WORK (an empty directory). Keeps the process ids in PIDS.

declare -A PIDS=()
ZONES=(za zb zc)

# A loopback address for this run only, so that no other process takes a port between its choice and its use.
HOST=127.$((2 + $$ / 65536 % 8)).$(($$ / 256 % 256)).$((2 + $$ % 250))

# Prints $1 free ports, one per line.
free_ports() {
  python3 - "$1" "$HOST" <<'PY'
import socket, sys
held = [socket.socket() for _ in range(int(sys.argv[1]))]
for s in held:
    s.bind((sys.argv[2], 0))
for s in held:
    print(s.getsockname()[1])
PY
}

# Chooses all names and addresses: sets INSTANCES, WORKERS, PEERS, OPERATORS, CALLERS, PLATFORM_PORT, and the
# maps *_PORT, ZONE_OF and HAS_DISK. $1 is the number of workers in each zone.
plan_cell() {
  local workers_per_zone=$1
  local count=$((6 * 3 + 3 * workers_per_zone + 1))
  mapfile -t PORTS < <(free_ports "$count")
  local next=0
  INSTANCES=()
  WORKERS=()
  PEERS=""
  declare -gA PEER_PORT=() CALLER_PORT=() OPERATOR_PORT=() WORKER_PORT=() ZONE_OF=() HAS_DISK=()
  for zone in "${ZONES[@]}"; do
    for n in 1 2; do
      local name="$zone$n"
      INSTANCES+=("$name")
      ZONE_OF[$name]=$zone
      PEER_PORT[$name]=${PORTS[next]}
      CALLER_PORT[$name]=${PORTS[next + 1]}
      OPERATOR_PORT[$name]=${PORTS[next + 2]}
      next=$((next + 3))
      local disk=""
      if [ "$n" = 1 ]; then disk="+disk"; HAS_DISK[$name]=1; fi
      PEERS+="$name=$zone@$HOST:${PEER_PORT[$name]}/$HOST:${CALLER_PORT[$name]}$disk,"
    done
    for n in $(seq "$workers_per_zone"); do
      local worker="$zone-w$n"
      WORKERS+=("$worker")
      ZONE_OF[$worker]=$zone
      WORKER_PORT[$worker]=${PORTS[next]}
      next=$((next + 1))
    done
  done
  PLATFORM_PORT=${PORTS[next]}
  PEERS=${PEERS%,}
  OPERATORS=$(for i in "${INSTANCES[@]}"; do printf '%s:%s,' "$HOST" "${OPERATOR_PORT[$i]}"; done)
  CALLERS=$(for i in "${INSTANCES[@]}"; do printf '%s:%s,' "$HOST" "${CALLER_PORT[$i]}"; done)
  OPERATORS=${OPERATORS%,}
  CALLERS=${CALLERS%,}
  export HEATHVALE_INSTANCES=$OPERATORS
}

# Writes the platform's list of workers. Workers in LEAVING are listed as leaving, those in GONE are left out.
write_list() {
  {
    local first=1
    printf '{"workers":['
    for worker in "${WORKERS[@]}"; do
      case " ${GONE:-} " in *" $worker "*) continue ;; esac
      local state=live
      case " ${LEAVING:-} " in *" $worker "*) state=leaving ;; esac
      [ "$first" = 1 ] || printf ','
      first=0
      printf '{"name":"%s","zone":"%s","rack":"%s-r%s","addr":"%s:%s",' \
        "$worker" "${ZONE_OF[$worker]}" "${ZONE_OF[$worker]}" "$((${worker##*w} % 2))" \
        "$HOST" "${WORKER_PORT[$worker]}"
      printf '"size":{"cpu_milli":16000,"memory_mb":32768,"accelerators":0},"state":"%s"}' "$state"
    done
    printf ']}'
  } >"$WORK/list.new"
  mv "$WORK/list.new" "$WORK/list.json"
}

start_platform() {
  "$BIN/examples/platform" --listen "$HOST:$PLATFORM_PORT" --list "$WORK/list.json" \
    >>"$WORK/platform.log" 2>&1 &
  PIDS[platform]=$!
}

start_worker() {
  local worker=$1
  "$BIN/examples/worker" --name "$worker" --listen "$HOST:${WORKER_PORT[$worker]}" \
    --records "$WORK/$worker.records" "${@:2}" >>"$WORK/$worker.log" 2>&1 &
  PIDS[$worker]=$!
}

start_instance() {
  local name=$1
  local disk=()
  if [ -n "${HAS_DISK[$name]:-}" ]; then disk=(--data-folder "$WORK/data-$name"); fi
  "$BIN/heathvaled" --name "$name" --peers "$PEERS" --platform "$HOST:$PLATFORM_PORT" \
    --operators "$HOST:${OPERATOR_PORT[$name]}" --test-refuse-file "$WORK/refuse-$name" \
    "${disk[@]}" >>"$WORK/$name.log" 2>&1 &
  PIDS[$name]=$!
}

start_cell() {
  write_list
  start_platform
  for worker in "${WORKERS[@]}"; do start_worker "$worker"; done
  for name in "${INSTANCES[@]}"; do start_instance "$name"; done
}

# Kills one process with SIGKILL and waits for it to end.
kill_now() {
  kill -9 "${PIDS[$1]}" 2>/dev/null
  wait "${PIDS[$1]}" 2>/dev/null
  unset "PIDS[$1]"
}

# Kills all started processes by id, including stopped ones, and waits for them to end.
end_cell() {
  for name in "${!PIDS[@]}"; do
    kill -CONT "${PIDS[$name]}" 2>/dev/null
    kill -9 "${PIDS[$name]}" 2>/dev/null
  done
  for name in "${!PIDS[@]}"; do wait "${PIDS[$name]}" 2>/dev/null; done
  PIDS=()
}

# Runs the remaining arguments as a command until it succeeds, for up to $1 seconds.
wait_until() {
  local tries=$(($1 * 5))
  shift
  for _ in $(seq "$tries"); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.2
  done
  return 1
}

# Prints the number of instances that are the allocator of their zone.
allocators() {
  "$BIN/heathvale" status 2>/dev/null | grep -c ' allocates$'
}

all_zones_allocated() { [ "$(allocators)" = 3 ]; }

# Prints how many tasks of job $1 are in state $2.
tasks_in() {
  "$BIN/heathvale" show "$1" 2>/dev/null | awk -v s="$2" 'NR > 1 && $4 == s { n++ } END { print n + 0 }'
}

has_tasks_in() { [ "$(tasks_in "$1" "$2")" = "$3" ]; }
