#!/usr/bin/env bash
# Builds the stand-ins of the cases: compiles their Python modules. They need
# the libraries that the build of the deploy file puts into target/deps.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps python3 -m compileall -q soak review
