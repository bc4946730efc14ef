#!/bin/sh
# The stand-ins of the cases are plain Node.js modules of their own (review/lib), without
# dependencies: there is nothing to compile. This checks that they can be parsed.
set -e
cd "$(dirname "$0")"
for file in lib/*.mjs [0-9]*/*.mjs; do node --check "$file"; done
