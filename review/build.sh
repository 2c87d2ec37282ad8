#!/bin/sh
# Builds the stand-ins of the review's scripts. They are Python files without
# dependencies, so this only checks that they compile. The daemons come from
# the build of the deploy file.
cd "$(dirname "$0")" && exec python3 -m py_compile common/*.py [1-5]/*.py
