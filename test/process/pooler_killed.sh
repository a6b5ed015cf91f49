#!/usr/bin/env bash
# The pooler that leads a group is killed under load: another owner serves the
# group, and callers whose answers were lost are told the true outcome.
source "$(dirname "$0")/support/common.sh"
test_start 26300 3
load_start --length-ms 10000
load_reaches 2
victim=$(leader) || fail "no pooler leads the group"
echo "killing pooler.$victim"
cluster_kill "pooler.$victim"
check "no write afterwards" load_acknowledges_more 20
load_end
check "the primary was deposed" test "$(cluster_primary "$GROUP")" = "$GROUP-0"
check "the servers do not agree" cluster_await 15 servers_agree
