#!/usr/bin/env bash
# Runs clang-tidy over every compiled source. Usage: lint.sh BUILD JOBS
set -euo pipefail
cd "$(dirname "$0")/.."
find src platform tools tests bench examples fuzz -name '*.cpp' | sort |
  xargs -P "$2" -n 1 clang-tidy -p "$1" --quiet 2> >(grep -v 'warnings generated' >&2)
