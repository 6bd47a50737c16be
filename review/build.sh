#!/usr/bin/env bash
# The stand-ins are plain Node.js modules: nothing is compiled. Checks them, and that the program was built.
set -euo pipefail
cd "$(dirname "$0")"
[ -f ../target/main.js ] || { echo "target/main.js is missing: run the build of deploy/service.toml first" >&2; exit 1; }
for file in lib/*.mjs [0-9]*/*.mjs; do node --check "$file"; done
