#!/usr/bin/env bash
# Builds the fuzz targets with clang and runs each for a fixed number of inputs
# with a fixed seed. Usage: fuzz_test.sh BUILD
set -euo pipefail
build=$(cd "$1" && pwd)
cd "$(dirname "$0")/.."
runs=50000
seed=1
max_bytes=4096

cmake -S fuzz -B "$build/fuzz" -G Ninja -DCMAKE_CXX_COMPILER=clang++ >/dev/null
cmake --build "$build/fuzz" -j 4 | tail -1

scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT

# Copies the seed inputs of one target into a corpus folder.
corpus_of() {
  local corpus=$scratch/$1
  mkdir "$corpus"
  case $1 in
    settings) cp examples/01-*/vm-mtl-1.json tests/broken/settings-* "$corpus" ;;
    fleet) cp tests/fleet-good.json tests/broken/fleet-* "$corpus" ;;
    *) cp fuzz/seeds/"$1"/* "$corpus" ;;
  esac
  echo "$corpus"
}

for source in fuzz/*_fuzz.cpp; do
  target=$(basename "$source" _fuzz.cpp)
  corpus=$(corpus_of "$target")
  log=$scratch/$target.log
  # A single run of one input may take 10 s at the most.
  if ! "$build/fuzz/${target}_fuzz" -runs=$runs -seed=$seed \
    -max_len=$max_bytes -timeout=10 -artifact_prefix="$build/fuzz/$target-" \
    "$corpus" >"$log" 2>&1; then
    cat "$log"
    echo "$target: FAILED; the input is in $build/fuzz/$target-*"
    exit 1
  fi
  echo "$target: $(grep -o 'Done [0-9]* runs' "$log")"
done
