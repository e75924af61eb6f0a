"""Dependency calls in flight, and the requests they belong to."""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from vetchford.runtime.timers import Timers
from vetchford.server.records_client import RecordsClient
from vetchford.server.request_table import RequestEntry


class CallInFlight(NamedTuple):
    """A call that has no outcome yet."""

    request_index: int
    started_at_ms: float  # by the server's clock


class CallsInFlight:
    """Starts, ends and cancels calls, as `vetchford.admission.dependency_calls` decides.

    Used only on the admission actor's thread.
    """

    def __init__(self, records: RecordsClient, timers: Timers, on_timeout: Callable[[int], None]) -> None:
        """Call `on_timeout` with the number of each call at the call's deadline, even if it has ended."""
        self.records = records
        self.timers = timers
        self.on_timeout = on_timeout
        self.by_number: dict[int, CallInFlight] = {}  # calls are removed when they end or are cancelled
        self.last_number = 0

    def start(
        self, index: int, entry: RequestEntry, now_ms: float, deadline_unix_ms: float, idempotent: bool
    ) -> None:
        """Start the call that a run waits for; `now_ms` is by the server's clock."""
        self.last_number += 1
        entry.call_number = self.last_number
        self.by_number[entry.call_number] = CallInFlight(index, now_ms)
        self.records.start_call(
            entry.request_id, entry.call_number, deadline_unix_ms, entry.call_body, not idempotent
        )
        self.timers.schedule(deadline_unix_ms, self.on_timeout, entry.call_number)

    def end(self, number: int) -> CallInFlight | None:
        """Remove and return a call that has an outcome; None if the call was cancelled before."""
        return self.by_number.pop(number, None)

    def find_request(self, number: int) -> int | None:
        """Return the index of the request that made a call; None if the call is not in flight."""
        call = self.by_number.get(number)
        return None if call is None else call.request_index

    def cancel(self, entry: RequestEntry) -> None:
        """Cancel the call of a request, if the request has a call in flight."""
        if entry.call_number:
            self.records.cancel_call(entry.request_id, entry.call_number)
            del self.by_number[entry.call_number]
            entry.call_number = 0

    def start_times(self) -> Iterable[float]:
        """Return the start times of the calls in flight, in ms by the server's clock."""
        return (call.started_at_ms for call in self.by_number.values())
