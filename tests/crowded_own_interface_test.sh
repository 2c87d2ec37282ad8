#!/usr/bin/env bash
# Crowds against a small VM: bodies without their last byte at the product's
# own interface. Usage: crowded_own_interface_test.sh BUILD
set -u
cd "$(dirname "$0")/.." || exit 1
exec timeout 230 python3 -B tests/crowded_vm.py "$1" \
  own_callers own_peers own_operators
