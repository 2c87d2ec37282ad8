#!/usr/bin/env bash
# Crowds against a small VM: more connections than a VM takes, which stay.
# Usage: crowded_connections_test.sh BUILD
set -u
cd "$(dirname "$0")/.." || exit 1
exec timeout 230 python3 -B tests/crowded_vm.py "$1" \
  taken_silent taken_heads taken_answered taken_unread
