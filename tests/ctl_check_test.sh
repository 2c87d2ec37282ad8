#!/usr/bin/env bash
# Tests shallotfordctl check: every example must be valid (exit 0), and every
# broken sample must be refused with line, field and remedy (exit 2). Also tests
# that Ctrl-C ends a watch with exit 0.
# Usage: ctl_check_test.sh BUILD
set -u
build=$(cd "$1" && pwd)
cd "$(dirname "$0")/.." || exit 1
ctl=$build/shallotfordctl
failures=0
fail() { echo "FAILED: $*"; failures=$((failures + 1)); }

examples=0
for file in examples/*/*.json; do
  output=$("$ctl" check "$file" 2>&1) || fail "$file: exit $? $output"
  case $output in *$'\e'*) fail "$file: colours without a terminal" ;; esac
  examples=$((examples + 1))
done
[ "$examples" -ge 20 ] || fail "only $examples examples"

# Samples that aren't JSON objects have no field that an error could name.
fieldless=$(python3 - tests/broken/*.json <<'PYTHON'
import json
import sys


def unique(pairs):
    if len(pairs) != len(dict(pairs)):
        raise ValueError("duplicate key")
    return dict(pairs)


for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        try:
            is_object = isinstance(
                json.load(file, object_pairs_hook=unique), dict
            )
        except ValueError:
            is_object = False
    if not is_object:
        print(f"[{name}]")
PYTHON
)

samples=0
for file in tests/broken/*.json; do
  output=$("$ctl" check "$file" 2>&1)
  code=$?
  [ $code -eq 2 ] || fail "$file: exit $code, not 2"
  grep -qE "^error: $file:[1-9][0-9]*: " <<<"$output" ||
    fail "$file: no line number in: $output"
  grep -qE '^  remedy: .+' <<<"$output" || fail "$file: no remedy in: $output"
  [[ $fieldless == *"[$file]"* ]] || grep -q 'field "' <<<"$output" ||
    fail "$file: no field in: $output"
  samples=$((samples + 1))
done
[ "$samples" -ge 30 ] || fail "only $samples broken samples"

"$ctl" check no-such-file.json >/dev/null 2>&1
[ $? -eq 2 ] || fail "a missing file is not exit 2"
"$ctl" nonsense >/dev/null 2>&1
[ $? -eq 2 ] || fail "a wrong command is not exit 2"
"$ctl" --help >/dev/null || fail "--help is not exit 0"

# Nothing listens on port 1 of loopback. The watch must continue after the
# failed call.
log=$(mktemp)
"$ctl" status --vm 127.0.0.1:1 --watch 60 2>"$log" &
watch=$!
for _ in $(seq 100); do
  grep -q remedy "$log" && break
  sleep 0.1
done
kill -INT $watch
wait $watch
code=$?
[ $code -eq 0 ] || fail "Ctrl-C ended a watch with $code"
rm -f "$log"

echo "$examples examples, $samples broken samples, $failures failures"
[ $failures -eq 0 ]
