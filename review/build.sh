#!/bin/sh
# The stand-ins of the cases are plain modules of Node without dependencies, so nothing is compiled; this only checks their syntax.
set -e
cd "$(dirname "$0")"
for each in stand-ins/*.mjs */case.mjs; do
  node --check "$each"
done
