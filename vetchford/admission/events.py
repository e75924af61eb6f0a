"""The events that an adapter delivers to the controller. No decisions."""

from typing import Protocol

from vetchford.admission.request import RequestArrival


class AdmissionEvents(Protocol):
    """The events of one server and its requests.

    All methods are called from one thread. `now_ms` is milliseconds since the server's start and never
    decreases. A request is identified by the index of its arrival until `AdmissionActions.release`.
    """

    def request_arrived(self, now_ms: float, arrival: RequestArrival) -> None:
        """Handle a request that was read from its client."""

    def client_disconnected(self, now_ms: float, index: int) -> None:
        """Handle that the connection of a request's client broke, so that no answer can reach it."""

    def client_gave_up(self, now_ms: float, index: int) -> None:
        """Handle that the client of a request stopped waiting for its answer, as the platform reports it."""

    def run_blocked(self, now_ms: float, index: int) -> None:
        """Handle a run that waits for a dependency call; delivered only if the server has a dependency."""

    def call_impossible(self, now_ms: float, index: int) -> None:
        """Handle a run that waits for a dependency call that can't be made; else as `run_blocked`."""

    def call_ended(self, now_ms: float, index: int, outcome: str, took_ms: float) -> None:
        """Handle the end of a dependency call, which took `took_ms` and ended with an `Outcome`."""

    def run_ended(self, now_ms: float, index: int, outcome: str, took_ms: float) -> None:
        """Handle the end of a run, or of a repeat's wait for its original's result, with an `Outcome`.

        The adapter answers the request if the controller has not.
        """

    def start_unconfirmed(self, now_ms: float, index: int) -> None:
        """Handle that the start of a run may have been lost; only for a request that must not run twice.

        The start is not sent again. `run_blocked` or `run_ended` follows if the run did start.
        """

    def reply_unconfirmed(self, now_ms: float, index: int) -> None:
        """Handle that the reply to a run's dependency call may have been lost; it is not sent again.

        `run_blocked` or `run_ended` follows if the reply did arrive. Otherwise the run waits for the reply,
        and ends once its request is answered.
        """

    def on_tick(self, now_ms: float, utilization: float | None, on_cores: float | None) -> None:
        """Handle the tick that `AdmissionActions.schedule_tick` scheduled; a gauge that is missing is None.

        `utilization` is the fraction of the cores that is busy; `on_cores` is the number of tasks that run
        on a core or wait for one.
        """

    def start_draining(self, now_ms: float, answers_due_at_ms: float) -> None:
        """Handle the termination notice; all answers are due by `answers_due_at_ms`.

        The adapter leaves the time that the process needs between its last answer and its exit.
        """

    def apply_fleet_signals(
        self, call_slowdown: float, call_capacity: float, is_full: bool, retry_after_factor: float
    ) -> None:
        """Apply signals that the servers of the fleet measure together; 1, 1, False and 1 change nothing.

        `call_slowdown` is the time of a dependency call over its usual time; `call_capacity` is the fraction
        of this server's share of calls that may be used; `is_full` says that all servers reject requests;
        `retry_after_factor` multiplies the retry-after.
        """
