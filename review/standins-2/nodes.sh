# Functions of the scripts of the second review: starts the stand-in platform
# and VMs with the program of the deploy file, and ends what was started. To be
# sourced by review/N/run.sh; needs bash and nothing else.
set -u
here=$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)
root=$(cd "$here/../.." && pwd)
tools=$root/review/build
trouble=${TROUBLE:-1}
scratch=$(mktemp -d)
started=()

finish() {
  local pid
  for pid in "${started[@]}"; do
    kill -s CONT "$pid" 2>/dev/null
    kill -s KILL "$pid" 2>/dev/null
    wait "$pid" 2>/dev/null
  done
  rm -rf "$scratch"
}
trap finish EXIT

cannot_run() {
  echo "could not run: $1"
  exit 2
}

[ -x "$root/target/currantshed-node" ] ||
  cannot_run "target/currantshed-node is missing: run the build of deploy/system.toml"
[ -x "$tools/town" ] && [ -x "$tools/visitors" ] ||
  cannot_run "the stand-ins are missing: run review/build-2.sh"

# Starts the stand-in platform with the given options, and three VMs.
town_start() {
  base=$("$tools/visitors" ports 80) || cannot_run "no free ports"
  "$tools/town" --store-port "$base" --servers-port $((base + 1)) \
    --record "$scratch/town.txt" "$@" 2>>"$scratch/town.log" &
  started+=($!)
  vms= ready=
  local vm first zones=(north middle south)
  for vm in 0 1 2; do
    first=$((base + 10 + 20 * vm))
    vms+=${vms:+,}$first
    ready+=${ready:+,}$((first + 1))
    settings "$vm" "$first" "${zones[$vm]}" >"$scratch/vm-$vm.json"
    (
      cd "$root" || exit 2
      CURRANTSHED_CONFIG=$scratch/vm-$vm.json exec target/currantshed-node
    ) >"$scratch/vm-$vm.log" 2>&1 &
    started+=($!)
  done
}

# The fields of DEPLOY.md as platform/settings.template renders them.
settings() {
  cat <<END
{"node_name": "front-$3-1", "role": "node", "machine_class": "front",
 "serves": ["front"], "ip": "127.0.0.1", "zone": "$3", "region": "region-1",
 "internal_ports": [$(($2 + 3)), $(($2 + 18))], "seeds": [],
 "bootstrap": true, "counts_in_tolerance": false, "discovery": "platform",
 "entry": "virtual_ip", "heartbeat_ms": 1200,
 "contracts": ["base", "drain", "config", "cost", "recover", "sql", "platform"],
 "zones": {"north": "region-1", "middle": "region-1", "south": "region-1"},
 "listen": {"front": "127.0.0.1:$2", "ready": "127.0.0.1:$(($2 + 1))"},
 "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": 260, "max_fds": 1000,
  "link_mbps": ${link_mbps:-1000.0}, "disk_mb": 0},
 "fault_tolerance": {"machines": 2, "zones": 0, "regions": 0},
 "bounds": {"seed_lag_s": 3, "addr_reuse_s": 2, "stable_window_ms": 4000,
  "ack_ms": 5000, "catch_up_s": 4, "drain_ms": 7000, "grace_s": 6,
  "loss_slack_ms": 200, "config_apply_ms": ${config_apply_ms:-3000}, "downgrade_slack_ms": 250,
  "max_stretch_ms": 12000, "recovery_s": 12, "require_fencing": false,
  "unfreeze_slack_ms": 300},
 "platform": {"address": "127.0.0.1:$base", "form": "kv", "writes_per_s": 400,
  "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576,
  "ttl_min_ms": 1000},
 "cloud_api": {"address": "127.0.0.1:$base", "rate_per_s": 50.0,
  "duties": ["failover"], "duties_per_s": 50.0}}
END
}

# Runs the clients of a scenario, writes record.txt and exits with their result.
judge() {
  "$tools/visitors" "$1" --vms "$vms" --ready "$ready" --town "$base" \
    --trouble "$trouble" --record "$scratch/clients.txt"
  local result=$?
  {
    echo "# $1, TROUBLE=$trouble, result $result (1: broken, 0: held, 2: not run)"
    echo "# what clients sent and were answered"
    cat "$scratch/clients.txt"
    echo "# what the platform and the servers saw"
    cat "$scratch/town.txt"
  } >"$here/record.txt"
  [ -z "${KEEP:-}" ] || cp -r "$scratch" "$KEEP"
  exit "$result"
}
