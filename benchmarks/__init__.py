"""Measurements: `python -m benchmarks.NAME`; the last line is JSON, exit status 0 if the aims hold."""
