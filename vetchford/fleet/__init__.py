"""Agents that manage server instances on one or several machines, and rollouts over them."""
