#!/usr/bin/env bash
# Compares placement policies in virtual time. Usage: bench-policy.sh BUILD SEED
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
seed=${2:-1}
mkdir -p docs/plots
"$build/policy_bench" "$build" docs/plots "$seed"
