#!/usr/bin/env bash
# Starts every process of a small region on loopback, drives callers through it
# under failures, prints a summary line and ends everything it started.
set -eu
cd "$(dirname "$0")/.."
bin=$PWD/bin
dir=$(mktemp -d)
pids=()
finish() {
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  rm -rf "$dir"
}
trap finish EXIT
start() { "$@" >>"$dir/log" 2>&1 & pids+=($!); disown; }

"$bin/standin" --dir "$dir" scene
start "$bin/standin" --dir "$dir" platform
for file in "$dir"/settings/*-u*.ini; do
  name=$(basename "$file" .ini)
  start "$bin/standin" --dir "$dir" upstream "$name"
  start "$bin/lagoondrum" -s "$file" agent
  echo "$!" >"$dir/$name.pid"
done
for file in "$dir"/settings/*-b*.ini; do
  start "$bin/lagoondrum" -s "$file" balancer
  echo "$!" >"$dir/$(basename "$file" .ini).pid"
done
status=0
"$bin/standin" --dir "$dir" drive "$@" || status=$?
[ "$status" = 0 ] || tail -n 60 "$dir/log" >&2
exit "$status"
