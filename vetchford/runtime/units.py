"""Factors between the units of time."""

MS_PER_S = 1000.0
