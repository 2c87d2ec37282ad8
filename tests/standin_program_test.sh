#!/usr/bin/env bash
# Drives the built shallotford-standin: command line, exit codes, crash.
# Usage: standin_program_test.sh BUILD
set -euo pipefail
program=$1/shallotford-standin
folder=$(mktemp -d)
pids=()
finish() {
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  rm -rf "$folder"
}
trap finish EXIT

fail() {
  echo "FAILED: $1"
  exit 1
}

expect_code() { # CODE COMMAND...
  local wanted=$1 code=0
  shift
  "$@" >"$folder/out" 2>&1 || code=$?
  [ "$code" = "$wanted" ] || fail "$* ended with $code, not $wanted"
}

# Starts a stand-in; sets pid and address.
start() {
  : >"$folder/log"
  "$program" "$@" >"$folder/log" 2>&1 &
  pid=$!
  pids+=("$pid")
  until grep -q '^listening address=' "$folder/log"; do
    kill -0 "$pid" 2>/dev/null || fail "$* did not start"
    sleep 0.02
  done
  address=$(sed -n 's/^listening address=//p' "$folder/log")
}

expect_end() { # CODE
  local code=0
  wait "$pid" || code=$?
  [ "$code" = "$1" ] || fail "ended with $code, not $1"
}

expect_code 0 "$program" --help
expect_code 0 "$program" --version
expect_code 2 "$program" nonsense
expect_code 2 "$program" engine --config "$folder/missing.json"
echo '{"rol":"decode"}' >"$folder/bad.json"
expect_code 2 "$program" engine --config "$folder/bad.json"
grep -q '"rol"' "$folder/out" || fail "the wrong setting is not named"

echo '{"role":"prefill","poison_word":"marker","poison_stage":"prefill"}' \
  >"$folder/engine.json"
start engine --config "$folder/engine.json"
curl -s "$address/engine/v1/prefills" \
  -d '{"stream":"a","model":"draft","prompt":"a marker"}' && fail "no crash"
expect_end 70

start platform
curl -sf -X PUT "$address/admin/config" -d '{"revision":1}' >/dev/null
[ "$(curl -sf "$address/config/fleet?after=0")" = '{"revision":1}' ] ||
  fail "the published text is not served"
kill -TERM "$pid"
expect_end 0

# A plain service is no daemon: its answers to model requests are wrong, and the
# load generator must say so.
start service
expect_code 1 "$program" load --daemons "$address" --requests 4 --seed 3 --rate 1000 \
  --stream-share 0 --max-tokens 3
tail -1 "$folder/out" | grep -q '^answered=0 lost=4 ' ||
  fail "wrong answers were not counted as lost: $(tail -1 "$folder/out")"
kill -TERM "$pid"
expect_end 0
echo "ok"
