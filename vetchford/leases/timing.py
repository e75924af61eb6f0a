"""Durations and bounds of the lease protocol; times in ms."""

LEADER_LEASE_MS = 3000.0  # renewed each RENEWAL_INTERVAL_MS
LEASE_MS = 3000.0  # renewed each RENEWAL_INTERVAL_MS
MAX_CLOCK_RATE_RATIO = 1.25  # of any two clocks
MAX_LEASE_MS = LEASE_MS * MAX_CLOCK_RATE_RATIO  # by any other clock than the holder's
RENEWAL_INTERVAL_MS = 600.0
QUEUE_POLL_INTERVAL_MS = 400.0  # between two requests of a client that waits in a queue
WAITER_TIMEOUT_MS = 2500.0  # without a request, after which a waiter leaves the queue
UNANSWERED_WINDOW_MS = RENEWAL_INTERVAL_MS * 3  # in which unanswered requests count against a server
MAX_UNANSWERED = 2  # requests in that window, after which a client asks another server

VOTE_MS = LEADER_LEASE_MS * MAX_CLOCK_RATE_RATIO  # for which a vote binds, by the voter's clock
ELECTION_TIMEOUT_MS = 1200.0  # a candidate that has no majority by then gives up
ELECTION_DELAY_MS = 300.0  # past the expiry of the last vote until a server stands for election
ELECTION_JITTER_MS = 1500.0
STEP_DOWN_JITTER_MS = 2.0 * ELECTION_JITTER_MS
JITTER_STEPS = 10_000

TERMS_PER_ROUND = 64  # term = round * TERMS_PER_ROUND + index of the server: no two servers share a term
TOKENS_PER_TERM = 1_000_000  # fencing token = term * TOKENS_PER_TERM + number of the grant
EPOCHS_PER_S = 10.0  # of the time of day; see `LeaderElection`
MAX_WAITERS = 1000  # in one queue
