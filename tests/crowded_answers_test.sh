#!/usr/bin/env bash
# Crowds against a small VM: answers that a small VM holds or passes on, read
# and unread. Usage: crowded_answers_test.sh BUILD
set -u
cd "$(dirname "$0")/.." || exit 1
exec timeout 230 python3 -B tests/crowded_vm.py "$1" \
  held_unread held_read held_late held_unsized held_failures held_twice \
  streams engine_streams mixed
