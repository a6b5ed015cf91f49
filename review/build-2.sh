#!/usr/bin/env bash
# Builds the stand-ins of the second review into review/build/, with the
# compiler and the Boost headers that deploy/system.toml lists.
set -eu
cd "$(dirname "$0")"
mkdir -p build
rm -f build/town build/visitors
for one in town visitors; do
  c++ -std=c++20 -O1 -Wall -Wextra "standins-2/$one.cpp" -o "build/$one" -pthread &
done
wait
[ -x build/town ] && [ -x build/visitors ]
