#!/usr/bin/env bash
# Nothing outside platform/ names the users' platform: neither its header
# fields, its calls nor its keys. Stand-ins and tests speak its protocol.
# Usage: platform_words_test.sh BUILD
set -euo pipefail
cd "$(dirname "$0")/.."
words='x-shallotford-|/api/kv-|kv-range|kv-watch|kv-key|hold-take|hold-drop'
words+='|op/config|servers/|current-rev|traffic-split|gap-aim-ms|handle-ttl'
words+='|expect-instance|not-executed|response-signature|SHALLOTFORD_SETTINGS'
if found=$(grep -rniE "$words" src include bench); then
  echo "words of the platform outside platform/:"
  echo "$found"
  exit 1
fi
# The check itself finds what it should.
grep -qiE "$words" platform/*.cpp
