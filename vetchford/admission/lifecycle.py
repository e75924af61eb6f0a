"""Final answers and the resources freed with them: exactly one answer per request, by its deadline."""

import heapq

from vetchford.admission.actions import AdmissionActions
from vetchford.admission.capacity import Capacity
from vetchford.admission.rejection import RejectionReason
from vetchford.admission.request import Request, RequestState
from vetchford.admission.retry_after import RetryAfter, TerminalRejection
from vetchford.admission.settings import Effect
from vetchford.admission.traffic import RecentTraffic
from vetchford.admission.workload import Workload

MIN_KEY_WINDOW_MS = 1.0


class RequestLifecycle:
    """Answers requests and releases their bytes, idempotency keys and indices.

    Invariant: an index is released once, after the final answer, the end of the run and the expiry of the
    idempotency key.
    """

    def __init__(
        self,
        actions: AdmissionActions,
        workload: Workload,
        capacity: Capacity,
        traffic: RecentTraffic,
        retry_after: RetryAfter,
        terminal_rejection: TerminalRejection,
    ) -> None:
        """Use `actions` to answer requests."""
        self.actions = actions
        self.workload = workload
        self.capacity = capacity
        self.traffic = traffic
        self.retry_after = retry_after
        self.terminal_rejection = terminal_rejection
        self.key_expiries: list[tuple[float, int]] = []
        """Heap of expiry time (ms) and request index; entries are removed as keys expire."""

    def reject(
        self,
        request: Request,
        reason: RejectionReason,
        terminal: bool = False,
        retry_after_ms: float | None = None,
    ) -> None:
        """Reject a request that never ran.

        Args:
            request: A request that is queued or has just arrived.
            reason: The rule that rejects the request.
            terminal: Ask the client in any case not to try another server.
            retry_after_ms: How long the client is asked to wait; None: until the queue is expected to be
                empty, with jitter.
        """
        self.traffic.rejections += 1.0
        self.mark_answered(request)
        if retry_after_ms is None:
            retry_after_ms = self.retry_after.draw_ms(self.capacity.backlog_ms(request))
        terminal = terminal or self.terminal_rejection.is_terminal(request)
        self.actions.reject(request.index, terminal, retry_after_ms, reason)
        self.finish(request)

    def reject_or_fail(self, request: Request) -> None:
        """Answer a request that can't be completed in time: rejected if it never ran, else failed."""
        if request.state == RequestState.QUEUED:
            self.reject(request, RejectionReason.DEADLINE, terminal=True)
        else:
            self.actions.fail(request.index)
            self.cancel(request)

    def cancel(self, request: Request) -> None:
        """Note that a request needs no answer any more; stop an idempotent run if runs can be stopped.

        A run with an idempotency key goes on: its result may answer a repeat.
        """
        self.mark_answered(request)
        can_stop = self.workload.settings.can_stop and request.request_class.effect == Effect.IDEMPOTENT
        if request.state in (RequestState.QUEUED, RequestState.SHARING):
            self.finish(request)
        elif request.state == RequestState.EXECUTING and can_stop:
            self.actions.stop(request.index)

    def mark_answered(self, request: Request) -> None:
        """Count a request as answered, and remove it from the queues."""
        request.answered = True
        self.workload.queued.pop(request.index, None)
        self.workload.waiting.pop(request.index, None)
        self.workload.in_flight.answered(request.client, request.size_bytes)
        self.capacity.answered(request)

    def finish(self, request: Request) -> None:
        """Free the memory of a request that is answered and does not run."""
        self.workload.in_flight.used_bytes -= request.size_bytes
        request.state = RequestState.DONE
        self.capacity.released(request)
        if request.key_expires_at_ms and not request.started:
            self._drop_key(request)
            self.actions.forget(request.index)
        self._release_index(request)

    def keep_key(self, now_ms: float, request: Request, queued_for_ms: float) -> None:
        """Keep the idempotency key for the rest of its window, which began when the request arrived.

        The index is kept for one timeout longer, because a repeat that arrives within the window may be read
        that much later.
        """
        request_class = request.request_class
        keep_for_ms = max(MIN_KEY_WINDOW_MS, request_class.key_window_ms - queued_for_ms)
        request.key_expires_at_ms = now_ms + keep_for_ms + request_class.timeout_ms
        self.workload.in_flight.used_bytes += self.workload.in_flight.key_size_bytes
        heapq.heappush(self.key_expiries, (request.key_expires_at_ms, request.index))
        self.actions.remember(request.index, keep_for_ms)

    def expire_keys(self, now_ms: float) -> None:
        """Drop the idempotency keys that have expired."""
        while self.key_expiries and self.key_expiries[0][0] <= now_ms:
            expires_at_ms, index = heapq.heappop(self.key_expiries)
            request = self.workload.requests.get(index)
            if request is not None and request.key_expires_at_ms == expires_at_ms:
                self._drop_key(request)
                self._release_index(request)

    def resolve_repeat(self, request: Request, original: int, would_be_rejected: bool) -> bool:
        """Return True if a repeat needs no admission: it shares its original's result, or is failed.

        Return False if the repeat takes the place of an original that is still queued: the client has given
        up on the original, which is rejected. A repeat of an unknown original is failed, because the original
        may have run.

        Args:
            request: The repeat.
            original: Index of the original, or `UNKNOWN_ORIGINAL`.
            would_be_rejected: Whether the repeat itself would be rejected.
        """
        original_request = self.workload.requests.get(original)
        if (
            original_request
            and original_request.state == RequestState.QUEUED
            and not would_be_rejected
            and request.has_key
        ):
            self.reject(original_request, RejectionReason.SUPERSEDED, terminal=True, retry_after_ms=0.0)
            return False
        request.state = RequestState.SHARING
        if original_request:
            self.actions.share(request.index)
        else:
            self.reject_or_fail(request)
        return True

    def _drop_key(self, request: Request) -> None:
        request.key_expires_at_ms = 0.0
        self.workload.in_flight.used_bytes -= self.workload.in_flight.key_size_bytes

    def _release_index(self, request: Request) -> None:
        if request.state == RequestState.DONE and not request.key_expires_at_ms:
            del self.workload.requests[request.index]
            self.actions.release(request.index)
