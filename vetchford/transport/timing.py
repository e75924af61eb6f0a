"""Durations and bounds of sessions; times in ms."""

HEARTBEAT_INTERVAL_MS = 500.0  # without a message of ours
SILENCE_TIMEOUT_MS = 2500.0  # without a message of the peer, after which its link counts as silent
GIVE_UP_TIMEOUT_MS = 8000.0  # the same, after which its connection is closed
HANDSHAKE_TIMEOUT_MS = 2000.0  # for the first message of a new connection
STABLE_AFTER_MS = 10_000.0  # up, after which the backoff begins anew
MAX_PENDING_PER_PEER = 4  # connections without a handshake, for each listed peer
SUSPENDED_AFTER_MS = 1500.0  # between two ticks, after which this process itself was suspended
INCARNATION_NOTICE_INTERVAL_MS = 200.0  # between two datagrams that tell a peer its known incarnation
MAX_LOGGED_NAME = 64  # characters of the name of an unknown sender
