"""The interface that tells the controller which requests may use slots, bytes and calls. No decisions.

`shared_capacity.SharedCapacity` lets all requests share all capacity; `vetchford.bulkheads` divides it.
"""

from collections.abc import Sequence
from typing import Protocol

from vetchford.admission.request import Request
from vetchford.admission.workload import Workload


class Capacity(Protocol):
    """Receives each event of a request, and answers the controller's queries before the controller acts.

    Called only on the thread that owns the controller. A subclass that ignores events inherits the event
    methods, which do nothing.
    """

    def attach(self, workload: Workload) -> None:
        """Set the workload that queries refer to; called once, before any other method."""
        return

    def arrived(self, request: Request) -> None:
        """Record that a request was read: its bytes are in memory and unanswered."""
        return

    def answered(self, request: Request) -> None:
        """Record that a request got its final answer or that its client has gone."""
        return

    def released(self, request: Request) -> None:
        """Record that a request's memory is free."""
        return

    def run_started(self, now_ms: float, request: Request, slots: float) -> None:
        """Record that a queued request started to run; `slots` is the number of slots of the server."""
        return

    def run_resumed(self, now_ms: float, request: Request) -> None:
        """Record that a run that had waited for a call is on the cores again."""
        return

    def run_blocked(self, now_ms: float, request: Request) -> None:
        """Record that a run left the cores to wait for a call."""
        return

    def run_ended(self, now_ms: float, request: Request) -> None:
        """Record that a run ended; `request.state` is still the state before the end."""
        return

    def call_started(self, now_ms: float, request: Request) -> None:
        """Record that a dependency call starts."""
        return

    def call_ended(self, now_ms: float, request: Request, took_ms: float | None, rejected: bool) -> None:
        """Record that a call ended after `took_ms`, or without an answer (None).

        `rejected` says that the dependency did not run the call.
        """
        return

    def on_tick(self, now_ms: float) -> None:
        """Update state that changes with time, at each tick."""
        return

    def queue_delay_ms(self, now_ms: float, request: Request) -> float:
        """Return how long an arriving request is expected to wait for a slot behind queued requests."""

    def backlog_ms(self, request: Request) -> float:
        """Return how long until the queue of a rejected request is expected to be empty."""

    def has_room(self, request: Request) -> bool:
        """Return whether the unanswered bytes, which include this newest request, are within their limit."""

    def eviction_candidates(self, request: Request, queued: list[Request]) -> list[Request]:
        """Return the requests, queued or arriving, of which one must be evicted; empty if none must be."""

    def memory_fits(self, request: Request, more_bytes: float) -> bool:
        """Return whether `more_bytes` of memory may be added for the request."""

    def startable(self, now_ms: float, slots: float, blocked: set[int]) -> Sequence[Request]:
        """Return queued requests, the first of which in dispatch order may start.

        Requests of the bulkheads in `blocked` are left out.
        """

    def callable_requests(self, now_ms: float) -> Sequence[Request]:
        """Return waiting requests, the first of which in call order may make its call now."""

    def call_cutoff_ms(self, now_ms: float, request: Request) -> float:
        """Return the clock time at which the request's call is abandoned unless another limit is earlier."""

    def should_skip(self, request: Request) -> bool:
        """Return whether a waiting request that may skip its call is to skip it."""

    def dependency_wait_ms(self, now_ms: float, request: Request) -> float:
        """Return how long the request's run is expected to wait for dependency calls."""
