"""Graceful shutdown: when nothing new is taken any more, when all is answered, and when the program ends."""

import math
from collections.abc import Callable

import structlog

from vetchford.admission.completion_estimate import TICK_MS
from vetchford.runtime.metrics import Metrics
from vetchford.runtime.timers import Timers, unix_time_ms
from vetchford.server.listener import Listener
from vetchford.server.request_answers import RequestAnswers

log = structlog.get_logger()

EXIT_TIME_MS = 120.0  # from the last answers to the tick that sees them written, and the exit itself
EXIT_BEFORE_KILL_MS = 40.0  # before the kill: what is not written by then will not be
MAX_GRACE_SHARE = 0.6  # of the time to stop: a short one must still leave time for what is unanswered


class ShutdownSchedule:
    """The times of a graceful shutdown, in Unix ms; infinite until it starts."""

    def __init__(self) -> None:
        """Expect no shutdown."""
        self.kill_at_unix_ms = math.inf
        self.close_at_unix_ms = math.inf

    def start(self, signalled_at_unix_ms: float, stop_ms: float, grace_ms: float) -> float:
        """Count from the termination notice; return by when all must be answered.

        `stop_ms`: until the program is killed. `grace_ms`: what arrives later is not run.
        """
        self.kill_at_unix_ms = signalled_at_unix_ms + stop_ms
        self.close_at_unix_ms = signalled_at_unix_ms + min(grace_ms, MAX_GRACE_SHARE * stop_ms)
        return self.kill_at_unix_ms - EXIT_TIME_MS

    def started(self) -> bool:
        """Whether the termination notice has come."""
        return self.kill_at_unix_ms < math.inf

    def last_exit(self) -> float:
        """Return when the program exits, whatever is unanswered: a moment later it would be killed."""
        return self.kill_at_unix_ms - EXIT_BEFORE_KILL_MS

    def closes(self, now_unix_ms: float) -> bool:
        """Whether nothing new is taken any more."""
        return now_unix_ms >= self.close_at_unix_ms

    def must_exit(self, now_unix_ms: float) -> bool:
        """Whether the program can wait no longer."""
        return now_unix_ms >= self.last_exit()


class GracefulShutdown:
    """Closes the listener, waits for the last answers and ends the server.

    Used by the thread of the admission actor alone.
    """

    def __init__(
        self,
        listener: Listener,
        answers: RequestAnswers,
        timers: Timers,
        log_summary: Callable[[], None],
        on_stopped: Callable[[], None],
    ) -> None:
        """Call `log_summary` and then `on_stopped` once, at the end."""
        self.listener = listener
        self.answers = answers
        self.timers = timers
        self.log_summary = log_summary
        self.on_stopped = on_stopped
        self.metrics: Metrics = answers.metrics
        self.schedule = ShutdownSchedule()
        self.stopped = False

    def start(self, signalled_at_unix_ms: float, stop_ms: float, grace_ms: float) -> float:
        """Start the schedule; return by when all must be answered, in Unix ms."""
        log.info("shutdown_started", stop_ms=stop_ms, open=self.answers.count_unanswered())
        answers_due_unix_ms = self.schedule.start(signalled_at_unix_ms, stop_ms, grace_ms)
        self.timers.schedule(self.schedule.last_exit(), self.advance)  # ticks may fall on either side of it
        return answers_due_unix_ms

    def advance_repeatedly(self) -> None:
        """Advance at the interval of ticks, where there is no controller that asks for them."""
        self.advance()
        if not self.stopped:
            self.timers.schedule(unix_time_ms() + TICK_MS, self.advance_repeatedly)

    def advance_if_closing(self) -> None:
        """Advance if the grace is over."""
        if self.schedule.closes(unix_time_ms()):
            self.advance()

    def advance(self) -> None:
        """Take nothing new; end the server once all is answered and written, or time is up."""
        time_is_up = self.schedule.must_exit(unix_time_ms())
        try:
            if time_is_up:  # a program that was paused past its ticks still answers what it can
                self.answers.fail_overdue(math.inf)
            self.listener.close()
        finally:
            # Whatever goes wrong above, the program ends before it is killed.
            if time_is_up or (self.listener.is_drained() and not self.answers.count_unanswered()):
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
