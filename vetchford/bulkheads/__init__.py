"""Bulkheads isolate request classes: each has a share of slots, bytes and calls, and may reserve slots.

Idle shares are lent to other bulkheads. `bulkheads` and the modules that it uses make the decisions, without
I/O; `builder` builds bulkheads from declared settings, and `bulkhead_capacity` connects them to the admission
controller. A server without bulkheads imports nothing of this package.
"""
