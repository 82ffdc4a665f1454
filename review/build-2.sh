#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start. It needs the packages that the build of the deploy file installs.
set -euo pipefail
cd "$(dirname "$0")/.."
node node_modules/typescript/bin/tsc -p .
