#!/usr/bin/env bash
# Crowds against a small VM: heads of many fields, and requests without a
# valid key. Usage: crowded_heads_test.sh BUILD
set -u
cd "$(dirname "$0")/.." || exit 1
exec timeout 230 python3 -B tests/crowded_vm.py "$1" \
  fields keys
