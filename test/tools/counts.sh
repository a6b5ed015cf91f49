#!/usr/bin/env bash
# Table test of tools/lib/counts.sh: name, lines of the ctest log, lines of
# KNOWN-RED.txt, total, and the expected closing line and success.
set -uo pipefail
cd "$(dirname "$0")/../.."
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
faults=0

good='1/2 Test #1: unit.one ........   Passed    0.01 sec'
good2='2/2 Test  #2: unit.two ........   Passed   10.01 sec'
bad2='2/2 Test #2: unit.two ........***Failed    0.01 sec'
late2='2/2 Test #2: unit.two ........***Timeout   9.01 sec'
torn2='2/2 Test #2: unit.two ........***Exception: SegFault  0.2 sec'
none2='2/2 Test #2: unit.two ........***Not Run   0.00 sec'
skip2='2/2 Test #2: unit.two ........***Skipped   0.00 sec'
echoed='    2/2 tests say Test #9: Passed 0.01 sec'
red='unit.two, a cause, 4'

row() {
  local name=$1 log=$2 known=$3 total=$4 closing=$5 success=$6 line code
  printf '%s\n' "$log" >"$scratch/log"
  rm -f "$scratch/red"
  [ -z "$known" ] || printf '%s\n' "$known" >"$scratch/red"
  line=$(tools/lib/counts.sh "$scratch/log" "$scratch/red" "$total" | tail -n 1
    exit "${PIPESTATUS[0]}")
  code=$?
  if [ "$line" != "$closing" ] || [ $((code == 0)) -ne "$success" ]; then
    echo "FAILED $name: '$line', exit $code"
    faults=$((faults + 1))
  fi
}

row "all pass" "$good"$'\n'"$good2" "" 2 "2 passed, 0 failed" 1
row "one fails" "$good"$'\n'"$bad2" "" 2 "1 passed, 1 failed" 0
row "one times out" "$good"$'\n'"$late2" "" 2 "1 passed, 1 failed" 0
row "one crashes" "$good"$'\n'"$torn2" "" 2 "1 passed, 1 failed" 0
row "one can't run" "$good"$'\n'"$none2" "" 2 "1 passed, 1 failed" 0
row "one skips itself" "$good"$'\n'"$skip2" "" 2 "1 passed, 1 failed" 0
row "one is missing" "$good" "" 2 "1 passed, 1 failed" 0
row "no test ran" "" "" 2 "0 passed, 3 failed" 0
row "no test is there" "" "" 0 "0 passed, 1 failed" 0
row "a test's own text is not counted" \
  "$good"$'\n'"$bad2"$'\n'"$echoed" "" 2 "1 passed, 1 failed" 0
row "known red fails" "$good"$'\n'"$bad2" "$red" 2 "1 passed, 0 failed" 1
row "known red passes" "$good"$'\n'"$good2" "$red" 2 "2 passed, 0 failed" 1
row "known red did not run" "$good" "$red" 1 "1 passed, 1 failed" 0
row "another is red" "$good"$'\n'"$bad2" "unit.one, a cause, 4" 2 \
  "1 passed, 1 failed" 0
row "too many known red" \
  "$good"$'\n'"$good2"$'\n'"1/2 Test #3: c ...***Failed 0.0 sec"$'\n'"1/2 Test #4: d ...***Failed 0.0 sec" \
  $'unit.one, x, 1\nunit.two, x, 1\nc, x, 1\nd, x, 1' 4 "2 passed, 1 failed" 0

[ "$faults" -eq 0 ] && echo "all rows as expected"
