#!/bin/sh
# Exits with 1 if a request was run twice, 0 if none was, 2 if the case could not run. TROUBLE=0: no link breaks.
cd "$(dirname "$0")/../.." || exit 2
exec .venv/bin/python review/1/case.py
