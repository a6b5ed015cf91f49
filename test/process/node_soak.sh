#!/usr/bin/env bash
# Injects faults in a seeded order into the real programs, while callers check
# every answer: VMs are killed, paused and stopped, primaries are lost or
# drained, servers restart empty under their ids, and paths to the store and to
# servers are delayed, held, cut in one direction, silenced or reset. From seed
# 1000 on the store may also be unavailable and be restored from an older
# snapshot, once or twice in a row, before, during and after other faults.
# From seed 2000 on half of all faults are a server that sheds statements, a
# server that goes down and up by turns, or a burst of further callers. Path
# faults overlap with later faults. From seed 3000 on half of all faults hold up
# the orders of a VM to promote a server while a primary leaves and the VM stops.
# From seed 4000 on half of all faults are a storm of large configurations, over
# links of 10 Mbit/s, into which the next faults fall.
# SEEDS names the seeds to run; if empty, those that CI runs each time. SOAK_BASE
# names the first port, so that several runs can share a machine.
source "$(dirname "$0")/support/node.sh"
proxied=yes
version=1
read -r first_seed _ <<<"${SEEDS:-1}"
[ "$first_seed" -lt 4000 ] || link_mbps=10
node_start "${SOAK_BASE:-28400}" 4

random_path() {
  if ((RANDOM % 2)); then
    path_to_store $((RANDOM % 4 + 1))
  else
    path_to_server $((RANDOM % 6))
  fi
}

# Injects a fault that ends by itself after the given number of seconds.
temporary_fault() {
  local way=$1 lasts=$2
  shift 2
  fault "$way" "$@"
  (
    sleep "$lasts"
    fault "$way" pass
  ) &
}

# The store loses its last seconds, sometimes again right after the restore.
store_restored() {
  local span=$((RANDOM % 3000)) away=$((RANDOM % 2500 + 100)) twice=$((RANDOM % 3))
  echo "store loses $span ms, unavailable for $away ms, twice: $((twice == 0))"
  tell "/test/lose?span_ms=$span&away_ms=$away" >/dev/null
  [ "$twice" -ne 0 ] || {
    sleep "$((away / 1000 + 1))"
    tell "/test/lose?span_ms=$span&away_ms=100" >/dev/null
  }
}

# A server answers BUSY to a part of its statements for a while; changes are
# still acknowledged meanwhile. In group-1, whose replicas serve reads.
shedding() {
  local server=group-1-$((RANDOM % 3)) percent=$((RANDOM % 60 + 20))
  local lasts=$((RANDOM % 2000 + 1000)) before
  before=$(acknowledged)
  echo "$server sheds $percent percent for $lasts ms"
  tell "/test/shed?server=$server&percent=$percent&for_ms=$lasts" >/dev/null
  goes_on() { [ "$(acknowledged)" -gt "$before" ] || ! callers_run; }
  check "nothing is acknowledged while $server sheds" await 5 goes_on
  sleep "$(seconds "$lasts")"
}

# A server goes down and up by turns, each 0.9 to 1.4 s.
flapping() {
  local server=group-$((RANDOM % 2))-$((RANDOM % 3)) turns=$((RANDOM % 2 + 2)) turn
  local down up
  for ((turn = 0; turn < turns; turn++)); do
    down=$((RANDOM % 500 + 900)) up=$((RANDOM % 500 + 900))
    echo "$server is down for $down ms, then up for $up ms"
    tell "/test/stop?server=$server" >/dev/null
    sleep "$(seconds "$down")"
    tell "/test/start?server=$server" >/dev/null
    sleep "$(seconds "$up")"
  done
}

# Several times the usual callers for 2 s.
burst() {
  local callers=$((RANDOM % 48 + 24)) run=$((RANDOM + 200000))
  echo "burst of $callers further callers"
  callers_burst "$callers" 2000 "$run"
}

# The orders of a VM, which may hold the group's failover lock, are held up
# while the group's primary leaves, and the VM is stopped.
orders_held() {
  local vm=$((RANDOM % 4 + 1)) group=group-$((RANDOM % 2)) old
  local lasts=$((RANDOM % 3 + 2)) after=$((RANDOM % 1500 + 300))
  old=$(primary_of "$group")
  echo "orders of vm-$vm are held for $lasts s, $old leaves, the VM stops after $after ms"
  temporary_fault "$(path_to_promotion "$vm")" "$lasts" hold
  tell "/test/drain?server=$old" >/dev/null
  sleep "$(seconds "$after")"
  node_stop "$vm"
  node_run "$vm"
  other_leads() { [ "$(primary_of "$group")" != "$old" ]; }
  check "$group keeps a primary that leaves" await 20 other_leads
  tell "/test/start?server=$old" >/dev/null
}

# Several large versions of the configuration, while the VMs' links to the store
# are slow. Later faults happen meanwhile.
configuration_storm() {
  local count=$((RANDOM % 25 + 5)) bytes=$((RANDOM * 28 + 100000))
  local gap=$((RANDOM % 80 + 20)) lasts=$((RANDOM % 3 + 3)) vm
  echo "$count versions of $bytes bytes, one each $gap ms, links slow for $lasts s"
  for vm in 1 2 3 4; do
    temporary_fault "$(path_to_store "$vm")" "$lasts" pace 10000 >/dev/null
  done
  tell "/test/storm?version=$((version + 1))&count=$count&bytes=$bytes&gap_ms=$gap" >/dev/null
  version=$((version + count))
}

one_fault() {
  if [ "$seed" -ge 4000 ] && ((RANDOM % 2)); then
    configuration_storm
    return
  fi
  if [ "$seed" -ge 3000 ] && ((RANDOM % 2)); then
    orders_held
    return
  fi
  if [ "$seed" -ge 2000 ] && ((RANDOM % 2)); then
    case $((RANDOM % 3)) in
      0) shedding ;;
      1) flapping ;;
      *) burst ;;
    esac
    return
  fi

  local vm=$((RANDOM % 4 + 1)) group=$((RANDOM % 2)) way lasts=$((RANDOM % 3 + 1))
  way=$(random_path)
  case $((RANDOM % faults)) in
    0) echo "kill vm-$vm"; node_kill "$vm" KILL; node_run "$vm" ;;
    1) echo "pause vm-$vm"; node_pause "$vm" 2 ;;
    2) echo "stop vm-$vm"; node_stop "$vm"; node_run "$vm" ;;
    3) echo "lose group-$group"; replaced "group-$group" stop || true ;;
    4) echo "leave group-$group"; replaced "group-$group" drain || true ;;
    5) temporary_fault "$way" "$lasts" hold ;;
    6) temporary_fault "$way" "$lasts" hold_answers ;;
    7) temporary_fault "$way" "$lasts" delay $((RANDOM % 300)) ;;
    8) fault "$way" silence ;;
    9) fault "$way" reset ;;
    10) echo "restart in group-$group"; restarted "group-$group" ;;
    *) store_restored ;;
  esac
}

for seed in ${SEEDS:-1 1001}; do
  RANDOM=$seed
  # From seed 1000 on a third of all faults are store restores; the sequences of
  # earlier seeds are unchanged.
  faults=11
  [ "$seed" -lt 1000 ] || faults=16
  echo "seed $seed"
  callers_start 12000 "$seed"
  sleep_until_served
  for _ in 1 2 3 4 5; do one_fault; done
  callers_end
  check "seed $seed: a change took effect twice" \
    grep -q '"doubled":0' <<<"$(tell /test/report)"
  check "seed $seed: an order to promote came after one with a higher token" \
    grep -q '"lower_tokens":0' <<<"$(tell /test/report)"
  echo "report: $(tell /test/report)"
  # All faults have ended: all requests are served again, and new configurations
  # take effect in time.
  sleep 3
  check "seed $seed: version $version is not in force" await 8 in_force "$version"
  version=$((version + 1))
  tell "/test/storm?version=$version&count=1&bytes=0" >/dev/null
  check "seed $seed: version $version is not in force" await 3 in_force "$version"
  callers_start 3000 $((seed + 100000))
  callers_end
done
