#!/usr/bin/env bash
# The soak, with a seed whose faults hold up orders to promote: an order that is
# held up must not arrive after the failover lock has changed hands.
SEEDS=${SEEDS:-3004} exec "$(dirname "$0")/node_soak.sh"
