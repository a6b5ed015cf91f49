#!/usr/bin/env bash
# The users' platform's own words stand in platform/ alone: none of those in
# platform_words.txt may stand in the product.
cd "$(dirname "$0")/../.."
if found=$(grep -rnFf test/tools/platform_words.txt --include='*.[ch]pp' \
  --include='*.proto' src bin); then
  echo "words of the platform outside platform/:"
  echo "$found"
  exit 1
fi
[ -s test/tools/platform_words.txt ] || exit 1
grep -qrFf test/tools/platform_words.txt platform ||
  { echo "the list names no word that platform/ uses"; exit 1; }
