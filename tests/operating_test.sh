#!/usr/bin/env bash
# Runs every command of docs/OPERATING.md as written, in its order, against a
# small fleet. Usage: operating_test.sh BUILD
set -euo pipefail
build=$(cd "$1" && pwd)
cd "$(dirname "$0")/.."
exec python3 tests/operating_run.py "$build" docs/OPERATING.md
