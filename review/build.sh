#!/bin/sh
# The stand-ins of the scripts are plain JavaScript modules without dependencies: there is nothing to compile.
cd "$(dirname "$0")" || exit 1
for file in stand-ins/*.mjs */run.mjs; do node --check "$file" || exit 1; done
