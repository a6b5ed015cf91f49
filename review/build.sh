#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/build. Needs only the packages
# that deploy/system.toml declares. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
c++ -std=c++20 -O1 -Wall -Wextra -c standins/json.cpp -o build/json.o &
json=$!
cases=()
for source in [0-9]/case.cpp; do
  number=${source%%/*}
  c++ -std=c++20 -O1 -Wall -Wextra -c "$source" -o "build/case-$number.o" &
  cases+=("$number:$!")
done
wait "$json"
for one in "${cases[@]}"; do
  wait "${one#*:}"
  number=${one%%:*}
  c++ "build/case-$number.o" build/json.o -o "build/case-$number" -pthread
done
