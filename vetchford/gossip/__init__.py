"""Load reports of all servers of a fleet, spread by gossip, and what one server concludes from them.

Modules: `messages` (reports and their encoded form), `metrics` (what is reported), `load_gossip` (spreads
reports), `aggregation` (the mean over servers, robust against false reports), `records_health` (the state of
the records service), `fleet_signals` (the policy). None of them does I/O, reads a clock or starts a thread.
"""
