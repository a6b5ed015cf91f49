#!/usr/bin/env bash
# Operation without injected network faults over real sockets: three VMs with
# the stand-in for store and servers. Callers check every answer while the
# configuration changes, a primary is lost, a leaving primary is replaced, and a
# VM stops and restarts.
source "$(dirname "$0")/support/node.sh"
node_start 28300 3

callers_start 10000
sleep_until_served
tell "/test/configure?version=2"
check "version 2 is not in force" await 10 in_force 2
check "the primary of group-0 is not replaced" replaced group-0 stop
node_stop 2
node_run 2
check "vm-2 is not ready again" await 10 is_ready 2
check "the primary of group-1 is not replaced" replaced group-1 drain
callers_end
echo "doubled: $(tell /test/report)"
check "a change took effect twice" grep -q '"doubled":0' <<<"$(tell /test/report)"
