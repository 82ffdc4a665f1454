#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")"
node run.mjs
code=$?
[ "$code" = 0 ] || [ "$code" = 1 ] || exit 2
exit "$code"
