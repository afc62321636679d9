#!/bin/sh
# Builds what the scripts of review/6 and later start besides the programs of the deploy file: the project's own stand-ins.
# Needs the packages that the build line of the deploy file installs, and no network.
set -e
cd "$(dirname "$0")/.."
node_modules/.bin/tsc -b packages/stand-ins
