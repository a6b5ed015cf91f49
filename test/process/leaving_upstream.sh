#!/usr/bin/env bash
# A replica that the platform marks as leaving (draining) gets no new work after
# a few seconds, apart from its own status statements.
source "$(dirname "$0")/support/common.sh"
test_start 26900 3
leaving=$GROUP-1
served() {
  grep -c "\"served_by\":\"$leaving\"" "$SCRATCH/records"
}
# The last read served by the server that began after the given microsecond of
# the run.
last_served() {
  grep "\"served_by\":\"$leaving\"" "$SCRATCH/records" |
    sed -E 's/.*"sent_us":([0-9]+).*/\1/' | sort -n | tail -n 1
}
few_seconds=4

load_start --length-ms 10000 --read-percent 90
load_reaches 3
check "it can't be marked" cluster_platform_upstream "$leaving" leaving
load_end
check "it served nothing before" test "$(served)" -gt 0
echo "last served at $(last_served) us"
check "it served afterwards" \
  test "$(last_served)" -lt $(((3 + few_seconds) * 1000000))
