#!/usr/bin/env bash
# A primary is partitioned under load: another server takes over, and no
# acknowledged write is lost; the old primary follows once it is reachable
# again.
source "$(dirname "$0")/support/common.sh"
test_start 26100 3
old=$(cluster_primary "$GROUP")
load_start --length-ms 8000 --cut "$GROUP@2500"
load_end
check "no write after the cut" test "$(field failover_gap_ms)" != null
check "the old primary was not replaced" primary_is_not "$old"
check "the cut can't be ended" cluster_fault "$old" cut=none
check "the servers do not agree" cluster_await 15 servers_agree
