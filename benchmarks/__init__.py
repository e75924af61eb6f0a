"""Benchmarks: `python -m benchmarks.NAME` prints its figures as JSON in the last line.

The exit status is 0 if the figures meet the aims, otherwise 1.
"""
