#!/bin/sh
# Builds the stand-ins of the cases, after the build of the deploy file: they need nothing but its environment.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m compileall -q review testkit vetchford
