#!/usr/bin/env bash
# Plays the case of this folder; see claim.txt. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")"
exec ../../target/review-2/standin2 -program ../../target/lagoondrum -record record.txt fraction
