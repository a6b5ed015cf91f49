#!/usr/bin/env bash
# Faults in a seeded order against the real programs: VMs are killed, paused
# and stopped, primaries are lost, while callers check every answer. SEEDS
# names the seeds to play; with none, one that CI plays each time.
source "$(dirname "$0")/support/node.sh"
node_start 28400 4

one_fault() {
  local vm=$((RANDOM % 4 + 1)) group=$((RANDOM % 2))
  case $((RANDOM % 5)) in
    0) echo "kill vm-$vm"; node_kill "$vm" KILL; node_run "$vm" ;;
    1) echo "pause vm-$vm"; node_pause "$vm" 2 ;;
    2) echo "stop vm-$vm"; node_stop "$vm"; node_run "$vm" ;;
    3) echo "lose group-$group"; replaced "group-$group" stop || true ;;
    4) echo "leave group-$group"; replaced "group-$group" drain || true ;;
  esac
}

for seed in ${SEEDS:-1}; do
  RANDOM=$seed
  echo "seed $seed"
  callers_start 12000 "$seed"
  sleep_until_served
  for _ in 1 2 3; do one_fault; done
  callers_end
  check "seed $seed: a change took effect twice" \
    grep -q '"doubled":0' <<<"$(tell /test/report)"
done
