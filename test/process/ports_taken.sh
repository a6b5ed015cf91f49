#!/usr/bin/env bash
# A second deployment on the ports of a running one fails at once and reports
# who holds them, and so does one whose program can't bind its port.
source "$(dirname "$0")/support/common.sh"
test_start 29000 1

# Runs in a separate shell that does not know the processes started here.
second_start() {
  bash -c 'source tools/lib/cluster.sh; CLUSTER_BUILD=$1
    trap cluster_stop EXIT
    cluster_start "$2" "$3"' second "$CLUSTER_BUILD" "$1" "$SCRATCH/second" 2>&1
}

told=$(second_start "$SCRATCH/shape.json")
check "the second start succeeded" test $? -ne 0
echo "$told"
check "it is not told who has the ports" grep -q "process $$ " <<<"$told"

# With another platform port the lock is free, but the servers' ports are taken.
sed 's/"port": 29000}/"port": 29001}/' "$SCRATCH/shape.json" \
  >"$SCRATCH/other.json"
begin=$SECONDS
told=$(second_start "$SCRATCH/other.json")
check "the other start succeeded" test $? -ne 0
echo "$told"
check "it is not told what ended" grep -q "ended at its start" <<<"$told"
check "it did not fail at once" test $((SECONDS - begin)) -lt 8

load_start --length-ms 2000
load_end
