#!/bin/sh
# The stand-ins that the scripts start are plain JavaScript and need no build; this checks that Node reads them.
set -e
cd "$(dirname "$0")"
for file in lib/*.mjs */case.mjs; do node --check "$file"; done
