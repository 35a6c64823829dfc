#!/bin/bash
# The stand-ins of the cases 4 and later are plain JavaScript below review/stand-ins-2 and need no build. Checks that they
# can be read, and that the program of the deploy file is there.
set -e
cd "$(dirname "$0")/.."
for file in review/stand-ins-2/*.mjs review/[4-8]/*.mjs; do
  [ -e "$file" ] && node --check "$file"
done
test -f target/valvelatch.cjs || node bin/bundle.js
