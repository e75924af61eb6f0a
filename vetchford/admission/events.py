"""The events that an adapter delivers to the controller. No decisions."""

from typing import Protocol

from vetchford.admission.request import RequestArrival


class AdmissionEvents(Protocol):
    """What can happen to one server and its requests.

    All methods are called from one thread. `now_ms` is ms since the server's start and never goes back;
    a request is named by the index of its arrival, until `AdmissionActions.release`.
    """

    def request_arrived(self, now_ms: float, arrival: RequestArrival) -> None:
        """A request was read."""

    def client_gone(self, now_ms: float, index: int) -> None:
        """The client of a request no longer waits for an answer."""

    def run_blocked(self, now_ms: float, index: int) -> None:
        """A run waits for a call to the dependency; only where there is one."""

    def call_ended(self, now_ms: float, index: int, outcome: str, took_ms: float) -> None:
        """A call ended, with an `Outcome`, after `took_ms`."""

    def run_ended(self, now_ms: float, index: int, outcome: str, took_ms: float) -> None:
        """A run, or the wait for another's result, ended with an `Outcome`; the adapter has answered it."""

    def on_tick(self, now_ms: float, utilization: float | None, on_cores: float | None) -> None:
        """The tick that `AdmissionActions.schedule_tick` asked for, with the gauges where there are any.

        `utilization`: fraction of the cores that are busy; `on_cores`: all that wants a core just now.
        """

    def start_draining(self, now_ms: float, answers_due_at_ms: float) -> None:
        """The termination notice came; all answers are due by `answers_due_at_ms`.

        What the process needs between its last answer and its exit is the adapter's to leave.
        """

    def apply_fleet_signals(
        self, call_slowdown: float, call_capacity: float, is_full: bool, retry_after_factor: float
    ) -> None:
        """What many servers measure together; 1, 1, False and 1 change nothing.

        `call_slowdown`: time of a call over the usual one; `call_capacity`: fraction of the share of calls to
        use; `is_full`: all servers reject; `retry_after_factor`: on the retry-after.
        """
