"""Durations and bounds of sessions; times in ms."""

HEARTBEAT_INTERVAL_MS = 500.0  # without a message of ours, then a heartbeat: five fit into SILENCE_TIMEOUT_MS
SILENCE_TIMEOUT_MS = 2500.0  # a machine that is only busy is heard within one second
GIVE_UP_TIMEOUT_MS = 8000.0  # a frozen peer that wakes within it keeps its connection and what is queued
HANDSHAKE_TIMEOUT_MS = 2000.0  # for the first message of a new connection
MIN_BACKOFF_MS = 200.0  # the time of a restart
MAX_BACKOFF_MS = 5000.0  # bounds how long a healed link stays unused
MAX_BACKOFF_EXPONENT = 10
STABLE_AFTER_MS = 10_000.0  # up, then the backoff begins anew: a flapping link keeps its long one
MAX_PENDING_PER_PEER = 4  # connections without a handshake for each listed peer; others are closed at once
SUSPENDED_AFTER_MS = 1500.0  # between two ticks: then this process itself was suspended
MAX_LOGGED_NAME = 64  # characters of the name of an unknown sender
