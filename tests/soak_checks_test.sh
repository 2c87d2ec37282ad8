#!/usr/bin/env bash
# The checks of the fault soak see what they are for.
set -euo pipefail
cd "$(dirname "$0")/../scripts"
exec python3 -B -m unittest -q soak_checks
