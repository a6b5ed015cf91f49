#!/usr/bin/env bash
# The soak, with a seed whose faults are storms of large configurations over slow
# links: they were never in force, since answers that could not come were asked
# for again.
SEEDS=${SEEDS:-4007} exec "$(dirname "$0")/node_soak.sh"
