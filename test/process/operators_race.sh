#!/usr/bin/env bash
# Two operators apply a change on top of the same version: exactly one succeeds,
# the other is told of the conflict, and every VM reports the winner's version.
source "$(dirname "$0")/support/common.sh"
lost_race=4
test_start 26600 2
platform="http://$CLUSTER_PLATFORM_ADDRESS:$CLUSTER_PLATFORM_PORT"

apply() {
  sed "s/deadline: 5s/deadline: $1s/" "$CLUSTER_DECLARATION" >"$SCRATCH/$1.yaml"
  "$CLUSTER_BUILD/currantshedctl" apply "$SCRATCH/$1.yaml" \
    --expect-version 1 --platform-url "$platform"
}

for round in 1 2 3; do
  apply 6 >"$SCRATCH/one" &
  one=$!
  apply 7 >"$SCRATCH/other" &
  other=$!
  wait "$one"
  first=$?
  wait "$other"
  second=$?
  cat "$SCRATCH/one" "$SCRATCH/other"
  echo "round $round: $first and $second"
  if [ "$round" -eq 1 ]; then
    check "not exactly one won: $first and $second" \
      test "$((first + second)) $((first * second))" = "$lost_race 0"
    winner=$([ "$first" -eq 0 ] && echo 6s || echo 7s)
  else
    check "an old version was accepted" \
      test "$first $second" = "$lost_race $lost_race"
  fi
done

check "the VMs do not report the version" \
  "$CLUSTER_BUILD/currantshedctl" wait --platform-url "$platform" \
  --version 2 --timeout 10s
shown=$("$CLUSTER_BUILD/currantshedctl" show --platform-url "$platform")
check "the winner's declaration is not in force: $shown" \
  grep -q "deadline: $winner" <<<"$shown"
