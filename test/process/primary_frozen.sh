#!/usr/bin/env bash
# A primary is frozen under load and resumed after another one has taken over.
# It still considers itself primary, and none of its writes from then on may be
# acknowledged: the checker would find them lost.
source "$(dirname "$0")/support/common.sh"
test_start 26200 3
old=$(cluster_primary "$GROUP")
load_start --length-ms 10000
load_reaches 2
cluster_signal "upstream.$old" STOP
check "no other primary" cluster_await 15 primary_is_not "$old"
check "no write after the takeover" load_acknowledges_more 10
cluster_signal "upstream.$old" CONT
check "the old primary does not follow" cluster_await 15 is_replica "$old"
load_end
check "the old primary is back" primary_is_not "$old"
check "the servers do not agree" cluster_await 15 servers_agree
