#!/bin/sh
# Builds the stand-ins of the second review's cases, after the build of the deploy file. They are Python and use
# the standard library only, so that they are compiled and nothing is fetched.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q testkit review/*.py review/*/case.py
