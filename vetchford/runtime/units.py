"""Conversion factors between units of time."""

MS_PER_S = 1000.0
