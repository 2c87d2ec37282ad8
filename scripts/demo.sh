#!/usr/bin/env bash
# Starts a small fleet on loopback and sends requests. Usage: demo.sh BUILD
set -euo pipefail
exec python3 "$(dirname "$0")/demo.py" "$1"
