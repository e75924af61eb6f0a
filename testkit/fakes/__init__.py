"""Fakes on loopback: test client, load generator, worker pool, records service, instance."""
