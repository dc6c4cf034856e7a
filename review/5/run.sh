#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/lagoondrum ] || [ ! -x review/bin/drive ]; then
  echo "build target/ as deploy/system.toml says, and run review/build.sh" >&2
  exit 2
fi
timeout -k 5 110 review/bin/drive tries review/5
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
