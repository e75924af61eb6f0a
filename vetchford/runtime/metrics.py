"""Counters by name, and invariants: asserted in debug builds, counted and logged in release builds.

Release builds are those that run with `python -O`.
"""

import threading
from types import TracebackType
from typing import Any

import structlog

log = structlog.get_logger()

MAX_PROBLEM_LENGTH = 200  # characters of an exception's text in the log


class Metrics:
    """Counters of one process; all methods may be called from any thread.

    The code uses a fixed set of names, so the number of counters is bounded.
    """

    def __init__(self) -> None:
        """Create the metrics without counters."""
        self.by_name: dict[str, int] = {}
        self.lock = threading.Lock()

    def increment(self, name: str, by: int = 1) -> int:
        """Increment the counter `name` by `by` and return its value."""
        with self.lock:
            count = self.by_name[name] = self.by_name.get(name, 0) + by
        return count

    def snapshot(self) -> dict[str, int]:
        """Return the current values of all counters by name."""
        with self.lock:
            return self.by_name.copy()

    def log_sampled(self, event: str, **fields: Any) -> None:
        """Count an event that clients or peers can cause, and log its 1st, 2nd, 4th, 8th, ... occurrence."""
        count = self.increment(event)
        if count & (count - 1) == 0:
            log.warning(event, count=count, **fields)

    def log_summary(self, **fields: Any) -> None:
        """Log all counters on one line, with `fields` before them."""
        counters = dict(sorted(self.snapshot().items()))
        log.info("summary", **fields, **counters)

    def report_internal_error(self, part: str, problem: Exception) -> None:
        """Count and log an unexpected exception; debug builds raise it again, release builds continue."""
        self.log_sampled(
            "part_broke",
            part=part,
            problem=type(problem).__name__,
            text=str(problem)[:MAX_PROBLEM_LENGTH],
            place=_innermost_place(problem.__traceback__),
        )
        if __debug__:
            raise problem

    def check_invariant(self, holds: bool, name: str, **fields: Any) -> bool:
        """Return `holds`; if it is false, debug builds raise AssertionError, release builds log the name."""
        assert holds, name
        if not holds:
            self.log_sampled("must_hold_broken", what=name, **fields)
        return holds


def _innermost_place(traceback: TracebackType | None) -> str:
    """Return the file and the line where an exception was raised."""
    if traceback is None:
        return ":0"
    while traceback.tb_next:
        traceback = traceback.tb_next
    file = traceback.tb_frame.f_code.co_filename.rsplit("/", 1)[-1]
    return f"{file}:{traceback.tb_lineno}"
