#!/usr/bin/env bash
# Measures what control costs from 9 to 360 VMs. Usage: bench-control.sh BUILD [SEED]
set -euo pipefail
cd "$(dirname "$0")/.."
"${1:-build}/control_bench" "${2:-1}"
