"""Calls to the records service that are in flight, and the requests they belong to."""

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

    Used by the thread of the admission actor alone.
    """

    def __init__(self, records: RecordsClient, timers: Timers, on_timeout: Callable[[int], None]) -> None:
        """Call `on_timeout` with the number of each call at its deadline, also of calls that have ended."""
        self.records = records
        self.timers = timers
        self.on_timeout = on_timeout
        self.by_number: dict[int, CallInFlight] = {}  # emptied as calls end or are cancelled
        self.last_number = 0

    def start(
        self, index: int, entry: RequestEntry, now_ms: float, deadline_unix_ms: float, idempotent: bool
    ) -> None:
        """Make the call that a run waits for; `now_ms` is by the server's clock."""
        self.last_number += 1
        entry.call_number = self.last_number
        self.by_number[entry.call_number] = CallInFlight(index, now_ms)
        self.records.start_call(
            entry.request_id, entry.call_number, deadline_unix_ms, entry.call_body, not idempotent
        )
        self.timers.schedule(deadline_unix_ms, self.on_timeout, entry.call_number)

    def end(self, number: int) -> CallInFlight | None:
        """Forget a call that has an outcome; None where it was given up before."""
        return self.by_number.pop(number, None)

    def find(self, number: int) -> int | None:
        """Return the index of the request that a call in flight belongs to."""
        call = self.by_number.get(number)
        return None if call is None else call.request_index

    def cancel(self, entry: RequestEntry) -> None:
        """Give up the call of a request, if it has one in flight."""
        if entry.call_number:
            self.records.cancel_call(entry.request_id, entry.call_number)
            del self.by_number[entry.call_number]
            entry.call_number = 0

    def start_times(self) -> Iterable[float]:
        """Yield when each call in flight was started, in ms by the server's clock."""
        return (call.started_at_ms for call in self.by_number.values())
