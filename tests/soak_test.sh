#!/usr/bin/env bash
# A short fault soak with fixed seeds. Usage: soak_test.sh BUILD
set -euo pipefail
scripts="$(dirname "$0")/../scripts"
python3 -B "$scripts/soak.py" "$1" --seed 1 --seconds 6
python3 -B "$scripts/soak.py" "$1" --seed 101 --seconds 6 --planned
