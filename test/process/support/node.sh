# Functions shared by the tests of currantshed-node: VMs on 127.0.0.1 with the
# stand-in for the users' platform, and callers that check the answers they get.
# Stops only processes started here, by their ids.
set -uo pipefail
build=${BUILD:-build}
scratch=$(mktemp -d)
declare -A vm_pid
fleet_pid=
callers_pid=
proxy_pids=
# If set before node_start, a proxy is put before each server and on each VM's
# path to the store.
proxied=
# Of the VMs' settings.
link_mbps=1000
config_apply_ms=3000
# If set before node_start, the first port of the servers that the store lists
# in place of the stand-in's.
listed_servers=
readonly GROUPS_OF_SERVERS=2

finish() {
  local status=$?
  for pid in "${vm_pid[@]}" $fleet_pid $callers_pid $proxy_pids; do
    kill -s CONT "$pid" 2>/dev/null
    kill -s KILL "$pid" 2>/dev/null
  done
  if [ "$status" -ne 0 ]; then
    tail -n 25 "$scratch"/*.log
  fi
  [ -n "${KEEP:-}" ] && cp -r "$scratch" "$KEEP"
  rm -rf "$scratch"
}
trap finish EXIT

fail() {
  echo "FAILED: $1"
  exit 1
}

check() {
  local what=$1
  shift
  "$@" || fail "$what"
}

# Waits for a command to succeed, for at most the given number of seconds.
await() {
  local end=$((SECONDS + $1))
  shift
  until "$@"; do
    [ "$SECONDS" -lt "$end" ] || return 1
    sleep 0.05
  done
}

tell() {
  curl -s --max-time 5 "http://127.0.0.1:$store_port$1"
}

is_ready() {
  [ "$(curl -s -o /dev/null -w '%{http_code}' --max-time 2 \
    "http://127.0.0.1:$((base + 10 * $1 + 1))/readiness")" = 200 ]
}

metric() {
  curl -s --max-time 2 "http://127.0.0.1:$((base + 10 * $1 + 4))/metrics" |
    sed -n "s/^$2 //p"
}

in_force() {
  local vm
  for vm in "${!vm_pid[@]}"; do
    [ "$(metric "$vm" currantshed_node_configuration_version)" = "$1" ] ||
      return 1
  done
}

# The port on which a VM reaches the store, and the port of a server, by number.
path_to_store() {
  if [ -n "$proxied" ]; then
    echo $((base + 59 + $1))
  else
    echo "$store_port"
  fi
}
# The port on which a VM reaches the promotion interface.
path_to_promotion() {
  if [ -n "$proxied" ]; then
    echo $((base + 63 + $1))
  else
    echo "$store_port"
  fi
}
path_to_server() { echo $((base + 70 + $1)); }

# Sets the fault of a path's proxy: "pass", "delay MS", "pace KBIT_PER_S",
# "hold", "hold_answers", "silence" or "reset".
fault() {
  local port=$1 control=$((base + 80))
  [ "$port" -ge "$((base + 70))" ] && control=$((base + 81))
  shift
  echo "path $port: $*"
  echo "$port $*" >"/dev/tcp/127.0.0.1/$control"
}

proxies_start() {
  "$build/currantshed-standin-proxy" --control "$((base + 80))" \
    --first "$(path_to_store 1)" --target "$store_port" --fan 8 \
    >>"$scratch/proxy.log" 2>&1 &
  proxy_pids+=" $!"
  "$build/currantshed-standin-proxy" --control "$((base + 81))" \
    --first "$(path_to_server 0)" --target "$((base + 90))" \
    --targets $((GROUPS_OF_SERVERS * 3)) >>"$scratch/proxy.log" 2>&1 &
  proxy_pids+=" $!"
}

# Ports of a VM: callers, readiness, then messages, relays and metrics.
node_run() {
  local vm=$1 first=$((base + 10 * $1))
  cat >"$scratch/vm-$vm.json" <<END
{"node_name": "vm-$vm", "zone": "here", "ip": "127.0.0.1",
 "internal_ports": [$((first + 2)), $((first + 4))],
 "listen": {"front": "127.0.0.1:$first", "ready": "127.0.0.1:$((first + 1))"},
 "limits": {"max_fds": 1024, "link_mbps": $link_mbps.0},
 "bounds": {"grace_s": 4, "config_apply_ms": $config_apply_ms},
 "platform": {"address": "127.0.0.1:$(path_to_store "$vm")", "ttl_min_ms": 1000},
 "cloud_api": {"address": "127.0.0.1:$(path_to_promotion "$vm")"}}
END
  "$build/currantshed-node" --config "$scratch/vm-$vm.json" \
    >>"$scratch/vm-$vm.log" 2>&1 &
  vm_pid[$vm]=$!
}

node_kill() {
  kill -s "$2" "${vm_pid[$1]}"
  wait "${vm_pid[$1]}" 2>/dev/null
}

node_stop() { node_kill "$1" TERM; }

node_pause() {
  kill -s STOP "${vm_pid[$1]}"
  sleep "$2"
  kill -s CONT "${vm_pid[$1]}"
}

# Starts the stand-in and the given number of VMs, on ports from the given one
# on.
node_start() {
  base=$1
  store_port=$((base + 1))
  "$build/currantshed-standin-fleet" --port "$store_port" \
    --servers-port "$((base + 90))" --groups "$GROUPS_OF_SERVERS" \
    ${proxied:+--listed-port "$(path_to_server 0)"} \
    ${listed_servers:+--listed-port "$listed_servers"} \
    >"$scratch/fleet.log" 2>&1 &
  fleet_pid=$!
  [ -z "$proxied" ] || proxies_start "$2"
  check "the stand-in does not answer" await 20 tell /test/report >/dev/null
  vms=$2
  local vm
  for ((vm = 1; vm <= vms; vm++)); do node_run "$vm"; done
  for ((vm = 1; vm <= vms; vm++)); do
    check "vm-$vm is not ready" await 20 is_ready "$vm"
  done
}

callers_start() {
  local ports= vm
  for ((vm = 1; vm <= vms; vm++)); do ports+=${ports:+,}$((base + 10 * vm)); done
  "$build/currantshed-standin-callers" --ports "$ports" --length-ms "$1" \
    --seed "${2:-1}" --groups "$GROUPS_OF_SERVERS" \
    >"$scratch/callers.log" 2>&1 &
  callers_pid=$!
}

callers_run() { kill -0 "$callers_pid" 2>/dev/null; }

# Runs further callers to their end; they check every answer as well.
callers_burst() {
  local ports= vm
  for ((vm = 1; vm <= vms; vm++)); do ports+=${ports:+,}$((base + 10 * vm)); done
  check "the burst's callers saw a wrong answer" \
    "$build/currantshed-standin-callers" --ports "$ports" --callers "$1" \
    --length-ms "$2" --seed "$3" --groups "$GROUPS_OF_SERVERS" \
    2>>"$scratch/burst.log"
}

# Milliseconds as seconds with a fraction.
seconds() { printf '%d.%03d' $(($1 / 1000)) $(($1 % 1000)); }

# Number of changes that the VMs have acknowledged since their starts.
acknowledged() {
  local vm count sum=0
  for vm in "${!vm_pid[@]}"; do
    count=$(metric "$vm" 'currantshed_node_request_seconds_count{outcome="acknowledged"}')
    sum=$((sum + ${count:-0}))
  done
  echo "$sum"
}

# Whether any VM has acknowledged a request; all callers may be connected to
# only some of the VMs.
served() {
  local vm
  for vm in "${!vm_pid[@]}"; do
    [ -z "$(metric "$vm" 'currantshed_node_request_seconds_count{outcome="acknowledged"}')" ] ||
      return 0
  done
  return 1
}
sleep_until_served() { check "nothing is served" await 15 served; }

callers_end() {
  wait "$callers_pid"
  local status=$?
  callers_pid=
  cat "$scratch/callers.log"
  [ "$status" -eq 0 ] || fail "callers saw a wrong answer"
  grep -Eq '"acknowledged":[1-9][0-9]' "$scratch/callers.log" ||
    fail "fewer than 10 changes were acknowledged"
}

# The server of a group that considers itself primary.
primary_of() {
  tell "/test/primary?group=$1" | tr -d ' '
}

# Restarts one server of the group, possibly its primary, under the same id and
# with empty data.
restarted() { tell "/test/restart?server=$1-$((RANDOM % 3))" >/dev/null; }

# Stops or drains the group's primary, waits for another one, and starts the old
# one again.
replaced() {
  local group=$1 how=$2 old
  old=$(primary_of "$group")
  tell "/test/$how?server=$old" >/dev/null
  other_leads() {
    local now
    now=$(primary_of "$group")
    [ -n "$now" ] && [ "$now" != "$old" ]
  }
  await 20 other_leads || return 1
  tell "/test/start?server=$old" >/dev/null
}
