#!/usr/bin/env bash
# Installs the npm packages that the client test needs, and Node if it is
# missing. What is already there in the locked version is left alone, so that a
# second run needs no network.
set -euo pipefail
cd "$(dirname "$0")/../tests/npm"
if ! command -v npm >/dev/null; then
  apt-get update -q
  DEBIAN_FRONTEND=noninteractive apt-get install -y -q \
    --no-install-recommends nodejs npm
fi
locked() { sed -n 's/.*"openai": "\(.*\)".*/\1/p' package.json; }
installed() {
  sed -n 's/^  "version": "\(.*\)".*/\1/p' node_modules/openai/package.json \
    2>/dev/null || true
}
[ "$(installed)" = "$(locked)" ] || npm ci --no-audit --no-fund
