"""Simulations in virtual time: agents, failure detectors, load gossip and leases on simulated networks."""
