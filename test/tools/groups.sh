#!/usr/bin/env bash
# Compares the groups of a CppUTest program with those given:
#   groups.sh PROGRAM GROUP...
set -uo pipefail
program=$1
shift
own=$("$program" -lg | tr ' ' '\n' | grep . | sort)
given=$(printf '%s\n' "$@" | sort)
diff <(echo "$own") <(echo "$given") && echo "every group is listed"
