#!/usr/bin/env bash
# Builds what the scripts of review/ start besides the host itself: the project's stand-in fleet, in dist/.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -d node_modules ] || npm ci --silent
npx tsc -p .
