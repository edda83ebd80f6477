#!/bin/sh
# Builds the stand-ins that the cases from 11 on start; all are in Python.
# Needs the build of the deploy file, and no network.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH="target/deps:." exec python3 -m compileall -q \
    soak review/standins_3 review/1[1-5]
