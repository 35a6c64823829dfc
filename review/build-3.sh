#!/bin/sh
# Builds the stand-ins of cases 9 to 13. They are plain Node.js modules without dependencies, so nothing is compiled; the
# modules are only parsed once, and the build of the deploy file must have been run.
cd "$(dirname "$0")/.." || exit 1
for file in review/stand-ins-3/*.mjs review/9/*.mjs review/1[0-3]/*.mjs; do
  [ -f "$file" ] || continue
  node --check "$file" || exit 1
done
[ -f target/valvelatch.cjs ] || { echo 'target/valvelatch.cjs is missing: run the build of deploy/system.toml'; exit 1; }
