"""Programs in virtual time on simulated networks."""
