"""Counters by name, and invariants: asserted in debug builds, counted and logged in release builds."""

import threading
from types import TracebackType
from typing import Any

import structlog

log = structlog.get_logger()

MAX_PROBLEM_LENGTH = 200  # characters of an exception's text in the log


class Metrics:
    """Counters of one program; all methods may be called from any thread.

    Names are fixed by the code, so the table is bounded.
    """

    def __init__(self) -> None:
        """Start with no counters."""
        self.by_name: dict[str, int] = {}
        self.lock = threading.Lock()

    def increment(self, name: str) -> int:
        """Count one more, and return the count."""
        with self.lock:
            count = self.by_name[name] = self.by_name.get(name, 0) + 1
        return count

    def snapshot(self) -> dict[str, int]:
        """Return the counts as of now, by name."""
        with self.lock:
            return self.by_name.copy()

    def log_sampled(self, event: str, **fields: Any) -> None:
        """Count an event that a peer can provoke, and log the 1st, 2nd, 4th, 8th ... of it."""
        count = self.increment(event)
        if count & (count - 1) == 0:
            log.warning(event, count=count, **fields)

    def log_summary(self, **fields: Any) -> None:
        """Log all counters on one line, with `fields` before them."""
        counted = dict(sorted(self.snapshot().items()))
        log.info("summary", **fields, **counted)

    def report_internal_error(self, part: str, problem: Exception) -> None:
        """Count and log a fault of our own code; debug builds raise it again, release builds go on."""
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
        """Return `holds`; where it is false, debug builds raise AssertionError, release builds log it."""
        assert holds, name
        if not holds:
            self.log_sampled("must_hold_broken", what=name, **fields)
        return holds


def _innermost_place(traceback: TracebackType | None) -> str:
    """Return file and line at which an exception was raised."""
    if traceback is None:
        return ":0"
    while traceback.tb_next:
        traceback = traceback.tb_next
    file = traceback.tb_frame.f_code.co_filename.rsplit("/", 1)[-1]
    return f"{file}:{traceback.tb_lineno}"
