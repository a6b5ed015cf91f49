#!/usr/bin/env bash
# A VM is asked to shut down under load: it exits by itself, and no request that
# it accepted is cut off.
source "$(dirname "$0")/support/common.sh"
test_start 26800 3
load_start --length-ms 8000
load_reaches 2
victim=$(leader) || fail "no pooler leads the group"
echo "stopping $victim"
check "$victim did not end well" cluster_vm_stop "$victim"
check "no write afterwards" load_acknowledges_more 20
load_end
check "requests were cut off" test "$(field cut_off)" -eq 0
check "the servers do not agree" cluster_await 15 servers_agree
