"""Deterministic subsets: shards, owners and gossip partners, computed from a view of the fleet only.

A server that does not use this package does not import it.
"""
