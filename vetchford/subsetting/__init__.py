"""Deterministic subsets: shards, owners and gossip partners that follow from a view of the fleet alone.

A server that does not use it imports none of it.
"""
