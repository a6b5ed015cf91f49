#!/usr/bin/env bash
# The platform hangs, and a primary is partitioned during its outage: the
# failover completes without the platform.
source "$(dirname "$0")/support/common.sh"
test_start 26500 3
old=$(cluster_primary "$GROUP")
load_start --length-ms 10000 --cut "$GROUP@4000"
load_reaches 2
check "no outage" cluster_platform "outage=on&mode=hang"
load_end
check "no write after the cut" test "$(field failover_gap_ms)" != null
check "the old primary was not replaced" primary_is_not "$old"
check "the outage does not end" cluster_platform "outage=off"
check "no configuration after the outage" cluster_await 10 cluster_apply
check "the cut can't be ended" cluster_fault "$old" cut=none
check "the servers do not agree" cluster_await 15 servers_agree
