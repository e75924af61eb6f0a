"""Class pools: work divided by stage, with slots, bytes and calls of its own, lent while idle, and a reserve.

`decide.py` and `adapt.py` decide, without I/O; `building.py` makes them from a declared record. A server
without pools imports none of it.
"""
