#!/usr/bin/env bash
# Runs the case that claim.txt describes. TROUBLE=0 leaves the disruption out.
source "$(dirname "$0")/../standins-2/nodes.sh"
link_mbps=10.0
config_apply_ms=5000
town_start --promotion-ms 1000
judge storm
