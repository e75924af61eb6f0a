"""Load reports of all servers of a fleet, exchanged by gossip, and the admission signals derived from them.

Modules: `messages` (reports and their encoded form), `metrics` (the reported metrics), `load_gossip` (the
exchange of reports), `aggregation` (a mean over servers that is robust against false reports),
`records_health` (the state of the records service), `fleet_signals` (the signals for admission). None of them
does I/O, reads a clock or starts a thread.
"""
