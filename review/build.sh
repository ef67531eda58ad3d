#!/bin/sh
# The stand-ins are plain JavaScript for Node; this checks that they parse.
set -e
cd "$(dirname "$0")"
for file in common/*.mjs [1-5]/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file"
done
