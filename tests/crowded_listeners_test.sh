#!/usr/bin/env bash
# Crowds against a small VM: bodies without their last byte at each listener.
# Usage: crowded_listeners_test.sh BUILD
set -u
cd "$(dirname "$0")/.." || exit 1
exec timeout 230 python3 -B tests/crowded_vm.py "$1" \
  peers operators relays
