"""Durations and bounds of the lease protocol; times in ms."""

LEADER_LEASE_MS = 3000.0  # renewed every RENEWAL_INTERVAL_MS
LEASE_MS = 3000.0  # renewed every RENEWAL_INTERVAL_MS
MAX_CLOCK_RATE_RATIO = 1.25  # between any two clocks
MAX_LEASE_MS = LEASE_MS * MAX_CLOCK_RATE_RATIO  # duration of a lease by any clock other than the holder's
RENEWAL_INTERVAL_MS = 600.0
QUEUE_POLL_INTERVAL_MS = 400.0  # between requests of a client that waits in a queue
WAITER_TIMEOUT_MS = 2500.0  # a waiter that sends no request for this time is removed from the queue
UNANSWERED_WINDOW_MS = RENEWAL_INTERVAL_MS * 3  # age up to which unanswered requests are counted
MAX_UNANSWERED_REQUESTS = 2  # in UNANSWERED_WINDOW_MS, before a client switches to another server

VOTE_VALIDITY_MS = LEADER_LEASE_MS * MAX_CLOCK_RATE_RATIO  # by the voter's clock
ELECTION_TIMEOUT_MS = 1200.0  # a candidate without a majority steps down after this time
ELECTION_DELAY_MS = 300.0  # from the expiry of the last vote to the earliest candidacy
ELECTION_JITTER_MS = 1500.0
STEP_DOWN_JITTER_MS = 2.0 * ELECTION_JITTER_MS
JITTER_STEPS = 10_000

TERMS_PER_ROUND = 64  # term = round * TERMS_PER_ROUND + index of the server; unique to one server
TOKENS_PER_TERM = 1_000_000  # fencing token = term * TOKENS_PER_TERM + number of the grant in this term
EPOCHS_PER_S = 10.0  # resolution of the time of day as an epoch; see `LeaderElection`
MAX_WAITERS = 1000  # in the queue of one lease name
