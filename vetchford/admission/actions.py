"""What the controller acts through; each adapter brings an implementation. No decisions."""

from typing import Protocol

from vetchford.admission.rejection import RejectionReason


class AdmissionActions(Protocol):
    """Acts on requests by their small index; times and durations are milliseconds with fractions.

    Called on the thread that delivered the event, before its method returns.
    """

    def start(self, index: int) -> None:
        """Run a queued request."""

    def stop(self, index: int) -> None:
        """Stop a run; not an answer. Only where the settings say how runs are stopped."""

    def reject(self, index: int, terminal: bool, retry_after_ms: float, reason: RejectionReason) -> None:
        """Final answer: rejected, never run.

        Args:
            index: Of the request.
            terminal: Not to be sent to another server.
            retry_after_ms: Not to be retried for that long; 0: nothing is asked.
            reason: The rule that rejected it.
        """

    def fail(self, index: int) -> None:
        """Final answer: an error, with no promise about effects."""

    def share(self, index: int) -> None:
        """Answer a request with the result of the one it repeats, once there is one."""

    def call(self, index: int, cut_at_ms: float) -> None:
        """Make the call that a request waits for, to be abandoned at the clock time `cut_at_ms`."""

    def skip(self, index: int) -> None:
        """Let a request that waits for a call go on without it."""

    def remember(self, index: int, keep_for_ms: float) -> None:
        """Keep the request's idempotency key for this long, so that a repeat is recognised."""

    def forget(self, index: int) -> None:
        """Drop the request's idempotency key."""

    def release(self, index: int) -> None:
        """The index is not referred to again and may be reused."""

    def set_readiness(self, ready: bool) -> None:
        """What health checks answer from now on."""

    def publish_load(self, value: float) -> None:
        """The load value sent back with each answer from now on."""

    def set_idle_timeout(self, timeout_ms: float) -> None:
        """Close connections that were idle for this long."""

    def schedule_tick(self, delay_ms: float) -> None:
        """Deliver one `on_tick` after this long; it can't be cancelled."""
