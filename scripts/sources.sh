#!/usr/bin/env bash
# Prints the C++ files that the formatter checks, one a line.
cd "$(dirname "$0")/.." || exit 1
find include src platform tools tests bench examples fuzz -name '*.cpp' -o -name '*.h' | sort
