#!/usr/bin/env bash
# Crowds against a small VM: the largest requests, one and then some at once.
# Usage: crowded_uploads_test.sh BUILD
set -u
cd "$(dirname "$0")/.." || exit 1
exec timeout 230 python3 -B tests/crowded_vm.py "$1" \
  uploads
