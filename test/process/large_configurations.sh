#!/usr/bin/env bash
# Several versions of a large configuration in quick succession were never in
# force: together they exceed what one answer may hold, or what a slow link
# transfers in time, and the same call was repeated. Each VM's connections to
# the store share a link of 10 Mbit/s.
source "$(dirname "$0")/support/node.sh"
proxied=1
link_mbps=10
config_apply_ms=5000
readonly VMS=3
node_start 28900 "$VMS"
for ((vm = 1; vm <= VMS; vm++)); do
  fault "$(path_to_store "$vm")" pace "${PACE:-10000}" >/dev/null
done

# The sum of a counter over all VMs.
store_calls() {
  local vm sum=0 count
  for ((vm = 1; vm <= VMS; vm++)); do
    count=$(metric "$vm" "currantshed_node_store_calls_total{outcome=\"$1\"}")
    sum=$((sum + ${count:-0}))
  done
  echo "$sum"
}

# Writes that many versions up to the given one, and waits until it is in force
# everywhere. The wait is far longer than the bound in the settings, since the
# machine may be busy; the time is printed.
storm() {
  local last=$1 count=$2 bytes=$3 gap=$4 lost
  lost=$(store_calls lost)
  tell "/test/storm?version=$((last - count + 1))&count=$count&bytes=$bytes&gap_ms=$gap" >/dev/null
  sleep "$(seconds $(((count - 1) * gap)))"
  local written=${EPOCHREALTIME/./}
  check "version $last is not in force" await "${WAIT:-15}" in_force "$last"
  echo "$count versions of $bytes bytes: in force after $(((${EPOCHREALTIME/./} - written) / 1000)) ms," \
    "$(($(store_calls lost) - lost)) calls given up"
}

storm 101 1 420000 0
sleep 3
storm 149 25 420000 60
sleep 3
storm 201 1 1040000 0
sleep 3
storm 249 25 1040000 60
