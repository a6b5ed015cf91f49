#!/usr/bin/env bash
# The complete path with the fewest components: a change through one gateway is
# read through the other at once, and then from a replica as well.
source "$(dirname "$0")/support/common.sh"
test_start 26000 2

write='{"class": "theft-report", "group": "claimsbook-1", "statements": [
  {"sql": "CREATE TABLE report (frame TEXT NOT NULL)", "params": []},
  {"sql": "INSERT INTO report (frame) VALUES ($1)", "params": ["F-1"]}]}'
answer=$(ask vm-1 /v1/statements "$write" 'Currantshed-Session: new')
echo "write: $answer"
check "the change is not done" grep -q '"outcome":"done"' <<<"$answer"
token=$(sed -E 's/.*"session":"([^"]*)".*/\1/' <<<"$answer")

read_report() {
  local class=$1
  answer=$(ask vm-2 /v1/statements "{\"class\": \"$class\",
    \"group\": \"claimsbook-1\", \"sql\": \"SELECT frame FROM report\",
    \"params\": []}" "Currantshed-Session: $token")
  grep -q '"outcome":"done"' <<<"$answer" &&
    grep -q '\["F-1"\]' <<<"$answer"
}
read_report shop-cover-check || fail "the change is not read: $answer"
echo "fresh read: $answer"

read_from_replica() {
  read_report report-history || fail "the change is not read: $answer"
  grep -q '"replica":true' <<<"$answer"
}
check "no replica serves the read" cluster_await 10 read_from_replica
echo "replica read: $answer"

load_start --length-ms 3000
load_end
