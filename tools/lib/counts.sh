#!/usr/bin/env bash
# Evaluates a ctest run by its output lines:
#   counts.sh LOG KNOWN_RED TOTAL
# LOG is ctest's output, KNOWN_RED the list of tests that may fail (one a
# line: test, cause, issue; it need not exist), TOTAL the number of tests that
# ctest has. Ends with the line "N passed, N failed" and succeeds only when
# every test ran and none failed but known ones.
set -uo pipefail
log=$1
known_red=$2
total=$3
known_limit=3

declare -A cause=()
if [ -f "$known_red" ]; then
  while IFS= read -r line; do
    [ -n "${line// /}" ] || continue
    cause[${line%%,*}]=$line
  done <"$known_red"
fi

passed=0
failed=0
known=0
declare -A seen=()
pattern='^ *[0-9]+/[0-9]+ Test +#[0-9]+: ([^ ]+) \.*(.*)$'
while IFS= read -r line; do
  [[ $line =~ $pattern ]] || continue
  name=${BASH_REMATCH[1]}
  verdict=${BASH_REMATCH[2]}
  seen[$name]=1
  if [[ $verdict =~ ^\ *Passed\ +[0-9.]+\ sec ]]; then
    passed=$((passed + 1))
    if [ -n "${cause[$name]:-}" ]; then
      echo "no longer red, take it off KNOWN-RED.txt: $name"
    fi
  elif [ -n "${cause[$name]:-}" ]; then
    known=$((known + 1))
    echo "known red: ${cause[$name]}"
  else
    failed=$((failed + 1))
    echo "failed: $name"
  fi
done <"$log"

for name in "${!cause[@]}"; do
  if [ -z "${seen[$name]:-}" ]; then
    echo "KNOWN-RED.txt names a test that did not run: $name"
    failed=$((failed + 1))
  fi
done
if [ ${#cause[@]} -gt $known_limit ]; then
  echo "KNOWN-RED.txt has ${#cause[@]} lines, more than $known_limit"
  failed=$((failed + 1))
fi
if [ "$passed" -eq 0 ] || [ $((passed + known)) -gt "$total" ]; then
  echo "no test passed, or more tests than ctest has"
  failed=$((failed + 1))
fi
if [ ${#seen[@]} -lt "$total" ]; then
  echo "only ${#seen[@]} of $total tests ran"
  failed=$((failed + total - ${#seen[@]}))
fi
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
