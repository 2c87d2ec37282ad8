#!/usr/bin/env bash
# Time added by the daemon and tokens relayed. Usage: bench-relay.sh BUILD
set -euo pipefail
exec python3 "$(dirname "$0")/bench_relay.py" "$1"
