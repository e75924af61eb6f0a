"""Leases with slots and fencing tokens, granted by an elected server; at most k clients hold one at a time.

Three to seven lease servers elect a leader by leader leases (Gray and Cheriton, 1989). The leader keeps the
leases in memory only. The following rules ensure that all leases lost with a failed leader have expired
before another leader grants any:

1. A server that has voted for one leader votes for no other server for `LEADER_LEASE_MS *
   MAX_CLOCK_RATE_RATIO` by its own clock; the leader counts `LEADER_LEASE_MS` from when it requested the
   vote. A server that has just started votes for nobody for the same time, because it may have voted before
   it stopped.
2. A new leader grants nothing for `LEASE_MS * MAX_CLOCK_RATE_RATIO`. By then each lease of its predecessor
   has expired, or its holder has renewed it with the new leader, which then keeps it.
3. A holder counts `LEASE_MS` from when it sent the request and checks its own clock before each use of the
   lease, so a process that was suspended notices that its lease has expired.
4. A renewal carries the term of the leader that it is sent to. So the current leader accepts only renewals
   that were sent after its election, by a process that held the lease at that time. It refuses a renewal with
   another term and replies with its own name and term.

Assumption on clocks: no two clocks differ in rate by more than `MAX_CLOCK_RATE_RATIO`; their offsets do not
matter. A resource that compares fencing tokens does not depend on this assumption: each lease names a slot
below k, and the tokens of one slot only increase. When all servers restart at once, the tokens continue from
the time of day.

Modules: `timing` (durations and bounds), `messages` (encoded form), `actions` (interface to the network and
the log), `leader_election`, `lease_pool` (holders and wait queue of one lease name), `lease_server`,
`lease_client`. None of them does I/O, reads a clock or starts a thread; all times are in ms.
"""
