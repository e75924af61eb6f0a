"""Polling for a condition that another thread or process makes true."""

import time
from collections.abc import Callable
from typing import Any

from testkit.fakes.peers import WAIT_TIMEOUT_S

POLL_INTERVAL_S = 0.002
"""Suitable for conditions that only read memory."""


def wait_until(
    condition: Callable[[], Any],
    what: str = "",
    timeout_s: float = WAIT_TIMEOUT_S,
    poll_interval_s: float = POLL_INTERVAL_S,
) -> None:
    """Wait until `condition()` is true.

    Raises:
        AssertionError: the condition was not true within `timeout_s`; the message ends with `what`.
    """
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            raise AssertionError(f"not within {timeout_s} s: {what}")
        time.sleep(poll_interval_s)
