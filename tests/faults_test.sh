#!/usr/bin/env bash
# Three real daemons under a kill, a pause, a planned stop and a killed engine.
# Usage: faults_test.sh BUILD
set -euo pipefail
cd "$(dirname "$0")/.."
exec python3 scripts/check_faults.py "$1"
