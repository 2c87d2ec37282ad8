#!/usr/bin/env bash
# Measures what control costs: nine real daemons, then 9 to 360 VMs in one
# process. Usage: bench-control.sh BUILD [SEED]
set -euo pipefail
cd "$(dirname "$0")/.."
python3 scripts/bench_control_daemons.py "${1:-build}"
"${1:-build}/control_bench" "${2:-1}"
