"""Fake peers on loopback: balancers, worker pool, records service, instances."""
