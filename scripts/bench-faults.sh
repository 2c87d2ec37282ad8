#!/usr/bin/env bash
# Nine daemons under faults. Usage: bench-faults.sh BUILD SEED
set -euo pipefail
exec python3 "$(dirname "$0")/bench_faults.py" "$1" "$2"
