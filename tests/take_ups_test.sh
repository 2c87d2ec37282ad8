#!/usr/bin/env bash
# Callers take broken streams up again while a release is under way: no stream
# is joined from two versions. Usage: take_ups_test.sh BUILD
set -u
cd "$(dirname "$0")/.." || exit 1
build="$1"

play() {
  python3 -B scripts/take_ups.py "$build" --seed 1 --release --vms 5 \
    --servers 3 --streams 40 "$@"
}

play --killed 2 --deadline fresh &
killed=$!
play --low --deadline left &
low=$!
wait "$killed"
first=$?
wait "$low"
second=$?
exit $((first > second ? first : second))
