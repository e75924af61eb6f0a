"""When a peer that was lost is connected to again. No I/O; times in ms."""

MIN_BACKOFF_MS = 200.0
MAX_BACKOFF_MS = 5000.0
MAX_BACKOFF_EXPONENT = 10  # keeps the power finite
MIN_JITTER = 0.5  # of the backoff; the most is one more
JITTER_STEPS = 1000


def backoff_ms(attempts: int, drawn: int) -> float:
    """The pause before the next attempt: doubles with each attempt up to `MAX_BACKOFF_MS`, with jitter.

    Without jitter all peers of a process that restarted, which lost it at once, would come back at once.

    Args:
        attempts: That were made since the link was last stable.
        drawn: A random number below `JITTER_STEPS`.
    """
    exponent = min(MAX_BACKOFF_EXPONENT, attempts)
    backoff = min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2.0**exponent)
    return backoff * (MIN_JITTER + drawn / JITTER_STEPS)
