"""Counts by name, and what must hold: asserted in debug builds, counted and logged in release builds."""

import threading
from typing import Any

import structlog

log = structlog.get_logger()


class Metrics:
    """Names are fixed by the code, so the table is bounded; several threads add to it."""

    def __init__(self) -> None:
        self.by_name: dict[str, int] = {}
        self.lock = threading.Lock()

    def increment(self, name: str) -> int:
        with self.lock:
            count = self.by_name[name] = self.by_name.get(name, 0) + 1
        return count

    def log_sampled(self, event: str, **fields: Any) -> None:
        """Counts what a peer can provoke, and logs the 1st, 2nd, 4th, 8th ... of it."""
        count = self.increment(event)
        if count & (count - 1) == 0:
            log.warning(event, count=count, **fields)

    def log_summary(self, **fields: Any) -> None:
        with self.lock:
            counted = dict(sorted(self.by_name.items()))
        log.info("summary", **fields, **counted)

    def report_internal_error(self, part: str, problem: Exception) -> None:
        """Our own code went wrong: debug builds end the thread, release builds say where and go on."""
        place = problem.__traceback__
        while place and place.tb_next:
            place = place.tb_next
        code = place.tb_frame.f_code.co_filename.rsplit("/", 1)[-1] if place else ""
        self.log_sampled(
            "part_broke",
            part=part,
            problem=type(problem).__name__,
            text=str(problem)[:200],
            place=f"{code}:{place.tb_lineno if place else 0}",
        )
        if __debug__:
            raise problem

    def check_invariant(self, holds: bool, name: str, **fields: Any) -> bool:
        assert holds, name
        if not holds:
            self.log_sampled("must_hold_broken", what=name, **fields)
        return holds
