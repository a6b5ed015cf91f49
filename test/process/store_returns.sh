#!/usr/bin/env bash
# The store was away for a moment and came back from a copy some seconds old, and
# for twelve seconds no VM put a configuration in force that was written from then
# on, though each was acknowledged within 30 ms. The store gave out revisions again
# that every VM had seen before; each VM took what it read for an older state, left
# it out, and asked again at once.
#   configuration_ignored version=23 in_force=23    6 to 14 times a second and VM
#   calls of the store: 130 to 150 a second, 60 of them refused; before, 20
# Here three VMs see configurations up to 30, the store loses most of them, and
# version 31 must be in force within three seconds of its acknowledgement.
source "$(dirname "$0")/support/node.sh"
node_start 28600 3

sleep 1
for version in {2..30}; do tell "/test/configure?version=$version" >/dev/null; done
check "version 30 is not in force" await 10 in_force 30
tell "/test/lose?span_ms=1500&away_ms=1500" >/dev/null
callers_start 8000
sleep 2
tell "/test/configure?version=31" >/dev/null
check "version 31 is not in force within three seconds" await 3 in_force 31
callers_end
check "a change took effect twice" grep -q '"doubled":0' <<<"$(tell /test/report)"
