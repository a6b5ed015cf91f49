# Functions shared by the process tests. To be sourced first; each test uses its
# own block of a hundred ports.
#
#   test_start BASE VMS   starts a deployment of VMS VMs and one group of
#                         three servers, on ports from BASE on
#   load_start ARGS...    starts the load in the background
#   load_reaches SECONDS  waits until the load has run for SECONDS
#   load_end              waits for the end of the load, prints its summary and
#                         fails the test if an invariant was violated
#   field NAME            prints a field of the load's summary
#   check WHAT COMMAND... fails the test when the command fails

set -uo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/../../.."
source tools/lib/cluster.sh

SCRATCH=$(mktemp -d)
LOAD=
GROUP=claimsbook-1
DOMAINS=(bamberg-hall bayreuth-room coburg-depot)

test_clean() {
  trap - EXIT INT TERM
  [ -z "$LOAD" ] || kill -s TERM "$LOAD" 2>/dev/null
  cluster_stop
  rm -rf "$SCRATCH"
}
trap test_clean EXIT
trap 'exit 130' INT TERM

fail() {
  echo "FAILED: $1"
  tail -n 3 "$SCRATCH"/progress 2>/dev/null
  for log in "$SCRATCH"/logs/*.log; do
    echo "--- $(basename "$log")"
    tail -n 4 "$log" | cut -c 1-300
  done
  exit 1
}

check() {
  local what=$1
  shift
  "$@" || fail "$what"
}

# Writes a shape, with the delays of the Stadtwerke deployment.
make_shape() {
  local base=$1 vms=$2 i port
  {
    echo '{"name": "test", "declaration": "declarations/stadtwerke.yaml",'
    echo "\"platform\": {\"address\": \"127.0.0.1\", \"port\": $base},"
    echo '"delays": {"between_failure_domains_us": 1500,'
    echo ' "to_callers_us": 3000, "connect_ms": 12}, "vms": ['
    for ((i = 1; i <= vms; i++)); do
      port=$((base + 30 + i * 5))
      echo "{\"id\": \"vm-$i\", \"address\": \"127.0.0.1\","
      echo " \"failure_domain\": \"${DOMAINS[(i - 1) % 3]}\","
      echo " \"request_port\": $port, \"peer_port\": $((port + 1)),"
      echo " \"status_port\": $((port + 2)), \"caller_port\": $((port + 4))}"
      [ "$i" -eq "$vms" ] || echo ,
    done
    echo '], "upstreams": ['
    for i in 0 1 2; do
      port=$((base + 10 + i * 2))
      echo "{\"id\": \"$GROUP-${i}\", \"group\": \"$GROUP\","
      echo " \"address\": \"127.0.0.1\", \"port\": $port,"
      echo " \"control_port\": $((port + 1)), \"slots\": 2,"
      echo " \"connections\": 16, \"failure_domain\": \"${DOMAINS[i]}\"}"
      [ "$i" -eq 2 ] || echo ,
    done
    echo ']}'
  } >"$SCRATCH/shape.json"
}

test_start() {
  make_shape "$1" "$2"
  cluster_start "$SCRATCH/shape.json" "$SCRATCH/logs" ||
    fail "the deployment does not start"
}

load_start() {
  : >"$SCRATCH/progress"
  "$CLUSTER_BUILD/currantshed-load" --shape "$SCRATCH/shape.json" \
    --sessions 12 --json "$SCRATCH/summary.json" \
    --records "$SCRATCH/records" "$@" \
    >"$SCRATCH/summary" 2>"$SCRATCH/progress" &
  LOAD=$!
}

load_shows() {
  kill -0 "$LOAD" 2>/dev/null || fail "the load ended too early"
  grep -q "$1" "$SCRATCH/progress"
}

load_reaches() {
  check "the load does not go on" \
    cluster_await $(($1 + 30)) load_shows "seconds=$1 "
}

load_end() {
  local code
  wait "$LOAD"
  code=$?
  LOAD=
  cat "$SCRATCH/summary"
  [ "$code" -eq 0 ] || fail "the load ended with $code"
  check "no change was acknowledged" test "$(field acknowledged)" -gt 0
}

field() {
  grep -oE "\"$1\":[^,{}]*" "$SCRATCH/summary.json" | head -n 1 |
    cut -d : -f 2
}

# Sends a request to a VM's gateway: ask VM PATH BODY [HEADER...]
ask() {
  local address domain request peer status caller headers=()
  read -r address domain request peer status caller <<<"${CLUSTER_VM[$1]}"
  local path=$2 body=$3
  shift 3
  while [ $# -gt 0 ]; do
    headers+=(-H "$1")
    shift
  done
  curl -s -m 10 "${headers[@]}" -H 'Content-Type: application/json' \
    -d "$body" "http://$address:$caller$path"
}

# Prints a VM's status.
vm_status() {
  local address domain request peer status
  read -r address domain request peer status _ <<<"${CLUSTER_VM[$1]}"
  curl -sf -m 2 "http://$address:$status/status"
}

# The VM whose pooler leads the group.
leader() {
  local id
  for id in "${CLUSTER_VMS[@]}"; do
    if vm_status "$id" | grep -Eq '"rank": ?0[,}]'; then
      echo "$id"
      return 0
    fi
  done
  return 1
}

# Whether a server other than the given one is primary.
primary_is_not() {
  local now
  now=$(cluster_primary "$GROUP") && [ "$now" != "$1" ]
}

# Whether a server follows as a replica.
is_replica() {
  cluster_state "$1" | grep -q '"role":"replica"'
}

# Waits until the given number of further changes have been acknowledged.
load_acknowledges_more() {
  local goal=$(($(load_acknowledged) + $1))
  cluster_await 30 load_acknowledged_above "$goal"
}

load_acknowledged() {
  sed -nE 's/.* acknowledged=([0-9]+).*/\1/p' "$SCRATCH/progress" | tail -n 1
}

load_acknowledged_above() {
  kill -0 "$LOAD" 2>/dev/null || fail "the load ended too early"
  [ "$(load_acknowledged)" -gt "$1" ]
}

# Whether all servers hold the same changes.
servers_agree() {
  local id sql='SELECT%20count(*),count(DISTINCT%20change)%20FROM%20load_change'
  for id in "${CLUSTER_UPSTREAMS[@]}"; do
    curl -sf -m 5 "$(cluster_control "$id")/dump?sql=$sql" || return 1
    echo
  done | sort -u | wc -l | grep -qx 1
}
