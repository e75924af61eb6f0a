"""Backoff between attempts to connect to a peer. No I/O; times in ms."""

MIN_BACKOFF_MS = 200.0
MAX_BACKOFF_MS = 5000.0
MAX_BACKOFF_EXPONENT = 10  # keeps the power finite
MIN_JITTER = 0.5  # factor on the backoff; the maximum is 1.5
JITTER_STEPS = 1000


def backoff_ms(connect_attempts: int, jitter_step: int) -> float:
    """Return the pause before the next attempt: it doubles with each up to `MAX_BACKOFF_MS`, with jitter.

    Without jitter all peers of a restarted process, which lost their links to it together, would reconnect
    together.

    Args:
        connect_attempts: Number of attempts to connect since the link was last stable.
        jitter_step: Random number below `JITTER_STEPS`.
    """
    exponent = min(MAX_BACKOFF_EXPONENT, connect_attempts)
    backoff = min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2.0**exponent)
    return backoff * (MIN_JITTER + jitter_step / JITTER_STEPS)
