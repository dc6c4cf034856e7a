#!/usr/bin/env bash
# Builds the stand-ins of the cases in review/11 to review/15. The program under test is
# built by the build line of deploy/system.toml.
set -eu
cd "$(dirname "$0")/standin-3"
go build -o ../../target/standin-3 .
