"""Durations and bounds of sessions; times in ms."""

HEARTBEAT_INTERVAL_MS = 500.0  # without a message sent on the link
SILENCE_TIMEOUT_MS = 2500.0  # without a message from the peer; the link is then SILENT
GIVE_UP_TIMEOUT_MS = 8000.0  # without a message from the peer; the link is then closed
HANDSHAKE_TIMEOUT_MS = 2000.0  # for the first message on a new connection
STABLE_AFTER_MS = 10_000.0  # UP for this time resets the backoff
MAX_PENDING_PER_PEER = 4  # accepted connections without a handshake, per listed peer
SUSPENDED_AFTER_MS = 1500.0  # between two ticks; a longer time means that this process was suspended
INCARNATION_NOTICE_INTERVAL_MS = 200.0  # between datagrams with a peer's known incarnation
MAX_LOGGED_NAME = 64  # characters of the name of an unknown sender
