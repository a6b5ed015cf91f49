#!/usr/bin/env bash
# Every VM is replaced under load by one with another name: the new VM starts
# and becomes ready, then the old one is asked to shut down.
source "$(dirname "$0")/support/common.sh"
CLUSTER_SPARES="vm-4 vm-5 vm-6"
test_start 26700 6
load_start --length-ms 20000
load_reaches 1
for i in 1 2 3; do
  new=vm-$((i + 3))
  check "no VM added" cluster_platform_vm "$new" live
  cluster_vm_start "$new"
  check "$new is not ready" cluster_await 20 cluster_vm_ready "$new"
  check "no VM leaving" cluster_platform_vm "vm-$i" leaving
  check "vm-$i did not end well" cluster_vm_stop "vm-$i"
  check "no VM removed" cluster_platform_vm "vm-$i" gone
  check "no write afterwards" load_acknowledges_more 20
done
load_end
check "requests were cut off" test "$(field cut_off)" -eq 0
check "the primary was deposed" test "$(cluster_primary "$GROUP")" = "$GROUP-0"
check "the servers do not agree" cluster_await 15 servers_agree
