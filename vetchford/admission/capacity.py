"""The interface by which the controller asks whose request may use which capacity. No decisions.

`shared_capacity.SharedCapacity` lets all requests share everything; `vetchford.bulkheads` divides it.
"""

from collections.abc import Sequence
from typing import Protocol

from vetchford.admission.request import Request
from vetchford.admission.workload import Workload


class Capacity(Protocol):
    """Notified of each event of a request's life, and asked before the controller acts.

    Called on the thread that owns the controller only. A subclass that records no events inherits the methods
    that notify, which do nothing.
    """

    def attach(self, workload: Workload) -> None:
        """Take the workload to answer for; called once, before any other method."""
        return

    def arrived(self, request: Request) -> None:
        """A request was read: its bytes are in memory and unanswered."""
        return

    def answered(self, request: Request) -> None:
        """A request got its final answer or its client has gone."""
        return

    def released(self, request: Request) -> None:
        """A request's memory is free."""
        return

    def run_started(self, now_ms: float, request: Request, slots: float) -> None:
        """A queued request started to run, with so many slots for all."""
        return

    def run_resumed(self, now_ms: float, request: Request) -> None:
        """A run that waited for a call is on the cores again."""
        return

    def run_blocked(self, now_ms: float, request: Request) -> None:
        """A run left the cores for a call."""
        return

    def run_ended(self, now_ms: float, request: Request) -> None:
        """A run is over; `request.state` still says where it was."""
        return

    def call_started(self, now_ms: float, request: Request) -> None:
        """A call to the dependency goes out."""
        return

    def call_ended(self, now_ms: float, request: Request, took_ms: float | None, rejected: bool) -> None:
        """A call ended after `took_ms` (None: unanswered); `rejected`: the dependency did not run it."""
        return

    def on_tick(self, now_ms: float) -> None:
        """The periodic tick."""
        return

    def queue_delay_ms(self, now_ms: float, request: Request) -> float:
        """Expected wait of an arriving request for a slot, behind what is queued before it."""

    def backlog_ms(self, request: Request) -> float:
        """Expected time until the queue of a rejected request is empty."""

    def has_room(self, request: Request) -> bool:
        """Whether the unanswered bytes, those of this newest request included, are within their limit."""

    def eviction_candidates(self, request: Request, queued: list[Request]) -> list[Request]:
        """Those of `queued`, and the arriving request, of which one is to make room; none: no need."""

    def memory_fits(self, request: Request, more_bytes: float) -> bool:
        """Whether `more_bytes` more may be used for the request."""

    def startable(self, now_ms: float, slots: float, blocked: set[int]) -> Sequence[Request]:
        """Queued requests of which the best may start now, none of a bulkhead in `blocked`."""

    def callable(self, now_ms: float) -> Sequence[Request]:
        """Waiting requests of which the best may call now."""

    def call_cutoff_ms(self, now_ms: float, request: Request) -> float:
        """Clock time at which its call is to be abandoned, if that is before all other limits."""

    def should_skip(self, request: Request) -> bool:
        """Whether a waiting request that may skip its call is to skip it."""

    def dependency_wait_ms(self, now_ms: float, request: Request) -> float:
        """Expected time that the request's run will wait on calls."""
