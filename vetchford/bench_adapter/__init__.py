"""Runs the admission controller behind the simulator's protocol; makes no decisions itself."""
