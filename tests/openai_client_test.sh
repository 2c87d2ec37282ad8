#!/usr/bin/env bash
# Drives a daemon with the stock OpenAI client: streaming, whole answers,
# abort, error shapes, model list. Usage: openai_client_test.sh BUILD
set -euo pipefail
build=$(cd "$1" && pwd)
cd "$(dirname "$0")/.."
scripts/install-npm.sh
exec python3 tests/npm/run.py "$build"
