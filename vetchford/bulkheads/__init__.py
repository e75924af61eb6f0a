"""Bulkheads: request classes isolated by slots, bytes and calls of their own, lent while idle, and a reserve.

`bulkheads` and its parts decide, without I/O; `builder` makes them from a declared record,
`bulkhead_capacity` puts them under the admission controller. A server without bulkheads imports none of it.
"""
