#!/usr/bin/env bash
# Words specific to the users' platform may occur in platform/ only: none of
# those in platform_words.txt may occur in the product.
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
