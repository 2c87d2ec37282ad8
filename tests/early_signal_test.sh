#!/usr/bin/env bash
# A signal that arrives before the daemon has read its settings is handled once
# it runs: SIGHUP doesn't end it, SIGTERM stops it as planned.
# Usage: early_signal_test.sh BUILD
set -euo pipefail
program=$1/shallotfordd
folder=$(mktemp -d)
pid=
finish() {
  [ -z "$pid" ] || kill -KILL "$pid" 2>/dev/null || true
  rm -rf "$folder"
}
trap finish EXIT

# The daemon reads its settings from a pipe, so it waits until they are written.
settings='{"callers": {"listen": "127.0.0.1:0"}, "peers": {"listen": "127.0.0.1:0"},
 "operators": {"listen": "127.0.0.1:0"}, "platform": "127.0.0.1:9",
 "region": "r", "failure_domain": "d",
 "routing": {"seeds": [], "failure_domains": {"d": "r"}, "drain_s": 4}}'
mkfifo "$folder/pipe"
printf '%s' "$settings" >"$folder/file"
ln -s pipe "$folder/settings"
"$program" --config "$folder/settings" >"$folder/log" 2>&1 &
pid=$!
# A write to the pipe succeeds only once the daemon has opened it.
exec 3>"$folder/pipe"
ln -sfn file "$folder/settings" # what it reads from now on
kill -HUP "$pid"
kill -TERM "$pid"
printf '%s' "$settings" >&3
exec 3>&-
code=0
wait "$pid" || code=$?
pid=
if [ "$code" != 0 ]; then
  cat "$folder/log"
  echo "FAILED: the daemon ended with $code, not 0"
  exit 1
fi
