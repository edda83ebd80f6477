#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, which use the standard library only.
cd "$(dirname "$0")/.." || exit 2
exec python3 -m compileall -q review/standins_2
