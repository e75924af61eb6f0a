"""The interface through which the controller acts on requests; each adapter implements it. No decisions."""

from typing import Protocol

from vetchford.admission.rejection import RejectionReason


class AdmissionActions(Protocol):
    """Acts on requests by their index; times and durations are fractional milliseconds.

    The methods are called on the thread that delivered the event, before the event's method returns.
    """

    def start(self, index: int) -> None:
        """Start the run of a queued request."""

    def stop(self, index: int) -> None:
        """Stop a run without answering its request; only if the settings allow runs to be stopped."""

    def reject(self, index: int, terminal: bool, retry_after_ms: float, reason: RejectionReason) -> None:
        """Answer a request, finally, as rejected: it never ran.

        Args:
            index: Index of the request.
            terminal: Whether the client is asked not to try another server.
            retry_after_ms: How long the client is asked to wait before a retry; 0 asks for no wait.
            reason: The rule that rejected it.
        """

    def fail(self, index: int) -> None:
        """Answer a request, finally, with an error; the request may or may not have taken effect."""

    def share(self, index: int) -> None:
        """Answer a request with the result of the request that it repeats, once that result is known."""

    def call(self, index: int, abandon_at_ms: float) -> None:
        """Make the dependency call that a request waits for; abandon it at the clock time `abandon_at_ms`."""

    def skip(self, index: int) -> None:
        """Resume the run of a request without the dependency call that it waits for."""

    def abandon_run(self, index: int) -> None:
        """Wait no longer for the end of a run that may never have started; fail repeats that wait for it."""

    def remember(self, index: int, keep_for_ms: float) -> None:
        """Keep the request's idempotency key for `keep_for_ms`, so that a repeat is recognised."""

    def forget(self, index: int) -> None:
        """Drop the request's idempotency key."""

    def release(self, index: int) -> None:
        """Release the index: the controller does not use it again, so it may be reused."""

    def report_idle_refusals(self, refused: int, duration_ms: float) -> None:
        """Report that all requests of a class, `refused` in number, were refused for `duration_ms`.

        Cores were free meanwhile, so what the controller had learned was wrong; it has forgotten it.
        """

    def set_readiness(self, ready: bool) -> None:
        """Set the readiness that health checks report from now on."""

    def publish_load(self, value: float) -> None:
        """Set the load value that is sent with each answer from now on."""

    def set_idle_timeout(self, timeout_ms: float) -> None:
        """Close client connections that have been idle for `timeout_ms`."""

    def schedule_tick(self, delay_ms: float) -> None:
        """Deliver one `on_tick` event after `delay_ms`; it can't be cancelled."""
