#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases (review/6 and later).
set -eu
cd "$(dirname "$0")/standin-2"
go build -o ../../target/review-2/standin2 .
