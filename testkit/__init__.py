"""Fakes, fault injection and simulations that tests and benchmarks share."""
