"""What `capacity.Capacity` is where nothing is divided: nothing to record, no one kept back. No decisions."""

import math
from collections.abc import Sequence

from vetchford.admission.request import Request
from vetchford.admission.workload import Workload


class UndividedCapacity:
    """Base of an implementation of `capacity.Capacity` without bulkheads.

    The counts in the workload suffice, so that no event is recorded, and nothing is held back from anyone.
    """

    workload: Workload

    def attach(self, workload: Workload) -> None:
        """Take the workload whose counts the answers are computed from."""
        self.workload = workload

    def arrived(self, request: Request) -> None:
        """Not recorded."""

    def answered(self, request: Request) -> None:
        """Not recorded."""

    def released(self, request: Request) -> None:
        """Not recorded."""

    def run_started(self, now_ms: float, request: Request, slots: float) -> None:
        """Not recorded."""

    def run_resumed(self, now_ms: float, request: Request) -> None:
        """Not recorded."""

    def run_blocked(self, now_ms: float, request: Request) -> None:
        """Not recorded."""

    def run_ended(self, now_ms: float, request: Request) -> None:
        """Not recorded."""

    def call_started(self, now_ms: float, request: Request) -> None:
        """Not recorded."""

    def call_ended(self, now_ms: float, request: Request, took_ms: float | None, rejected: bool) -> None:
        """Not recorded."""

    def on_tick(self, now_ms: float) -> None:
        """Not recorded."""

    def callable(self, now_ms: float) -> Sequence[Request]:
        """All that wait."""
        return list(self.workload.waiting.values())

    def call_cutoff_ms(self, now_ms: float, request: Request) -> float:
        """None beside the limits for all."""
        return math.inf

    def dependency_wait_ms(self, now_ms: float, request: Request) -> float:
        """What was measured of its class."""
        return request.request_class.dependency_wait_ms
