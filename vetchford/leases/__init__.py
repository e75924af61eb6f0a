"""Leases with slots and fencing tokens, granted by an elected server: at most k processes act at once.

The protocol. Three to seven lease servers elect a leader by leader leases (Gray and Cheriton, 1989). The
leader keeps the leases in memory and nothing on disk. What it loses with its end has expired before another
leader may grant:

1. A server that voted for one leader votes for no other for `LEADER_LEASE_MS * MAX_CLOCK_RATE_RATIO` by its
   own clock; the leader counts `LEADER_LEASE_MS` from when it asked. A server that just started gives no vote
   for as long, because it may have given one before it stopped.
2. A new leader grants nothing for `LEASE_MS * MAX_CLOCK_RATE_RATIO`. By then each lease of its predecessor
   has expired, or its holder has renewed it with the new leader, which took it over.
3. A holder counts `LEASE_MS` from when it asked and looks at its own clock before each act, so a process that
   was suspended knows that its lease has expired.
4. A renewal names the term under which it was sent, so it was sent after that leader was elected, by a
   process that held the lease then. A renewal from an earlier term is refused with the name of the leader.

Assumptions on clocks: no two clocks differ in rate by more than `MAX_CLOCK_RATE_RATIO`; their offsets do not
matter. A resource that compares fencing tokens needs not even that: each lease names a slot below k, and the
tokens of one slot only grow. After an end of all servers at once the tokens continue from the time of day.

Modules: `timing` (durations and bounds), `messages` (the wire form), `actions` (what the others act through),
`leader_election`, `lease_pool` (holders and wait queue of one lease name), `lease_server`, `lease_client`.
None of them does I/O, reads a clock or starts a thread; all times are in ms.
"""
