"""Fault injection: relays, process clusters, sync points, mutations."""
