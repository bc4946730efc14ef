#!/bin/sh
# Builds what the scripts of the cases 4 to 8 start beside the bundled programs: the project's
# packages with its stand-ins. The other stand-ins are plain modules and are only checked.
set -e
cd "$(dirname "$0")/.."
npm run build
for file in review/lib-2/*.mjs review/[4-8]/*.mjs; do
  [ -e "$file" ] && node --check "$file"
done
