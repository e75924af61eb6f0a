"""Graceful shutdown: when to stop accepting requests, when all requests are answered, and when to exit."""

import math
from collections.abc import Callable

import structlog

from vetchford.admission.completion_estimate import TICK_MS
from vetchford.runtime.metrics import Metrics
from vetchford.runtime.timers import Timers, unix_time_ms
from vetchford.server.listener import Listener
from vetchford.server.request_answers import RequestAnswers

log = structlog.get_logger()

EXIT_TIME_MS = 120.0  # from the last answers to the tick that finds them written, and for the exit itself
EXIT_BEFORE_KILL_MS = 40.0  # the latest exit, before the kill; answers not written by then are lost
MAX_GRACE_SHARE = 0.6  # of `stop_ms`, so that a short `stop_ms` leaves time to answer open requests


class ShutdownSchedule:
    """The times of a graceful shutdown, in Unix ms; infinite until it starts."""

    def __init__(self) -> None:
        """Create a schedule without a shutdown."""
        self.kill_at_unix_ms = math.inf
        self.close_at_unix_ms = math.inf

    def start(self, signalled_at_unix_ms: float, stop_ms: float, grace_ms: float) -> float:
        """Set the times, counted from the termination signal; return when all requests must be answered.

        `stop_ms`: time until the process is killed. `grace_ms`: requests that arrive later are not run.
        """
        self.kill_at_unix_ms = signalled_at_unix_ms + stop_ms
        self.close_at_unix_ms = signalled_at_unix_ms + min(grace_ms, MAX_GRACE_SHARE * stop_ms)
        return self.kill_at_unix_ms - EXIT_TIME_MS

    def started(self) -> bool:
        """Return whether the shutdown has started."""
        return self.kill_at_unix_ms < math.inf

    def latest_exit_unix_ms(self) -> float:
        """Return when the process exits even with unanswered requests, shortly before it would be killed."""
        return self.kill_at_unix_ms - EXIT_BEFORE_KILL_MS

    def is_grace_over(self, now_unix_ms: float) -> bool:
        """Return whether the grace time is over, after which the listener is closed."""
        return now_unix_ms >= self.close_at_unix_ms

    def must_exit(self, now_unix_ms: float) -> bool:
        """Return whether the process must exit, even with unanswered requests."""
        return now_unix_ms >= self.latest_exit_unix_ms()


class GracefulShutdown:
    """Closes the listener, waits for the last answers and stops the server.

    Used only on the admission actor's thread.
    """

    def __init__(
        self,
        listener: Listener,
        answers: RequestAnswers,
        timers: Timers,
        log_summary: Callable[[], None],
        on_stopped: Callable[[], None],
    ) -> None:
        """Create an idle shutdown; once, at its end, it calls `log_summary` and then `on_stopped`."""
        self.listener = listener
        self.answers = answers
        self.timers = timers
        self.log_summary = log_summary
        self.on_stopped = on_stopped
        self.metrics: Metrics = answers.metrics
        self.schedule = ShutdownSchedule()
        self.stopped = False

    def start(self, signalled_at_unix_ms: float, stop_ms: float, grace_ms: float) -> float:
        """Start the schedule; return when all requests must be answered, in Unix ms."""
        log.info("shutdown_started", stop_ms=stop_ms, open=self.answers.count_unanswered())
        answers_due_unix_ms = self.schedule.start(signalled_at_unix_ms, stop_ms, grace_ms)
        # Ticks may fall too early or too late for the latest exit.
        self.timers.schedule(self.schedule.latest_exit_unix_ms(), self.advance)
        return answers_due_unix_ms

    def advance_repeatedly(self) -> None:
        """Advance at the interval of the ticks, for a server without a controller to schedule them."""
        self.advance()
        if not self.stopped:
            self.timers.schedule(unix_time_ms() + TICK_MS, self.advance_repeatedly)

    def advance_if_closing(self) -> None:
        """Advance if the grace time is over."""
        if self.schedule.is_grace_over(unix_time_ms()):
            self.advance()

    def advance(self) -> None:
        """Close the listener; stop the server once all answers are written or the process must exit."""
        must_exit = self.schedule.must_exit(unix_time_ms())
        try:
            if must_exit:  # the ticks may not have answered all requests, for example after a pause
                self.answers.fail_overdue(math.inf)
            self.listener.close()
        finally:
            # The server stops before the process is killed, even if closing the listener raises.
            if must_exit or (self.listener.is_drained() and not self.answers.count_unanswered()):
                self._stop()

    def _stop(self) -> None:
        if self.stopped:
            return
        self.stopped = True
        try:
            self.metrics.check_invariant(not self.answers.count_unanswered(), "answered_before_the_stop")
            self.log_summary()
        finally:
            self.on_stopped()
