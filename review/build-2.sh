#!/bin/sh
# Builds every stand-in that the cases 4 to 8 start. They are plain ECMAScript modules of review/lib-2 and need no
# compiler; this checks that each of them parses. The controllers come from the build of deploy/service.toml.
cd "$(dirname "$0")" || exit 1
for file in lib-2/*.mjs [4-8]/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file" || exit 1
done
