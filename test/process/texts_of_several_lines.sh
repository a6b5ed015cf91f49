#!/usr/bin/env bash
# A line feed within a text ended the message: the rest of the text was run as a
# statement that nobody had sent. Callers and servers on plain sockets check
# that VMs forward every text byte for byte, directly and through other VMs.
source "$(dirname "$0")/support/node.sh"
base=28700
listed_servers=$((base + 70))
# With four VMs a server accepts too few connections for all of them, so that
# two hold connections for the others.
readonly VMS=4

for ((vm = 1; vm <= VMS; vm++)); do ports+=${ports:+,}$((base + 10 * vm)); done
coproc WIRE {
  "$build/currantshed-wire-check" --servers-port "$listed_servers" \
    --ports "$ports" --seed "${SEED:-1}" --texts "${TEXTS:-20}"
}
wire_pid=$WIRE_PID
proxy_pids=" $wire_pid"
read -r line <&"${WIRE[0]}"
check "the servers do not listen" test "$line" = listening

# Whether a VM sends statements through another one: a connection to a port for
# relays stands.
relays() {
  local vm
  for ((vm = 1; vm <= VMS; vm++)); do
    grep -qiE "^ *[0-9]+: [0-9A-F]+:[0-9A-F]+ [0-9A-F]+:$(printf '%04X' $((base + 10 * vm + 3))) 01" \
      /proc/net/tcp && return 0
  done
  return 1
}

node_start "$base" "$VMS"
exec {out}<&"${WIRE[0]}"
echo go >&"${WIRE[1]}"
check "no VM sends statements through another one" await 10 relays
cat <&"$out"
wait "$wire_pid" || fail "a text was changed, or an answer was wrong"
