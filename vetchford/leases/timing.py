"""Durations and bounds of the lease protocol; times in ms."""

LEADER_LEASE_MS = 3000.0  # renewed each RENEWAL_INTERVAL_MS; a new leader is found in about twice that
LEASE_MS = 3000.0  # renewed each RENEWAL_INTERVAL_MS; a dead holder blocks its slot for about as long
MAX_CLOCK_RATE_RATIO = 1.25  # two clocks a tenth wrong, one each way, make 1.22
RENEWAL_INTERVAL_MS = 600.0  # five renewals fit into a lease, so three may be lost
QUEUE_POLL_INTERVAL_MS = 400.0  # between two requests of a client that waits in a queue
ELECTION_TIMEOUT_MS = 3 * 400.0  # a candidate that has no majority by then gives up
ELECTION_DELAY_MS = 300.0  # past the expiry of the last vote until a server stands for election
ELECTION_JITTER_MS = 1500.0  # spreads the servers, so that two seldom stand at once
WAITER_TIMEOUT_MS = 2500.0  # a waiter that was not heard for four of its requests leaves the queue

TERMS_PER_ROUND = 64  # term = round * TERMS_PER_ROUND + index of the server: no two servers share a term
TOKENS_PER_TERM = 1_000_000  # fencing token = term * TOKENS_PER_TERM + number of the grant
MAX_WAITERS = 1000  # in one queue; the platform's fleets are a fifth of it
