#!/usr/bin/env bash
# Clients that keep to no limit: the process lives, stays within its bounds and
# answers an ordinary request. Usage: untrusted_clients_test.sh BUILD
set -u
cd "$(dirname "$0")/.." || exit 1
exec timeout 200 python3 -B tests/untrusted_clients.py "$1"
