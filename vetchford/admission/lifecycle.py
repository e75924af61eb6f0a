"""Final answers, and what is freed with them: exactly one answer a request, by its deadline."""

import heapq

from vetchford.admission.part import AdmissionPart
from vetchford.admission.request import Request, RequestState
from vetchford.admission.settings import Effect


class RequestLifecycle(AdmissionPart):
    """Answers requests and releases their bytes, idempotency keys and indices."""

    def __post_init__(self) -> None:
        self.key_expiries: list[tuple[float, int]] = []  # heap, emptied as keys expire

    def reject(self, request: Request, terminal: bool, delay_ms: float | None = None) -> None:
        """Answer that it never ran. `delay` (ms) is asked of the client; None: until the queue is empty."""
        advice = self.advice
        advice.rejections += 1.0
        self.settle(request)
        delay_ms = (
            advice.retry_after_ms(self.capacity.retry_after_ms(request)) if delay_ms is None else delay_ms
        )
        # A retry that is rejected again has found two servers full: more only spread the overload, and
        # so would all others where a quarter of what comes was rejected elsewhere.
        terminal |= request.is_retry or advice.fleet_full or advice.retries > 0.25 * advice.arrivals
        self.actions.reject(request.index, terminal, delay_ms)
        self.finish(request)

    def give_up(self, request: Request) -> None:
        if request.state == RequestState.QUEUED:
            self.reject(request, True)
        else:
            self.actions.fail(request.index)
            self.cancel(request)

    def cancel(self, request: Request) -> None:
        """No answer is needed any more; a run is stopped where that is possible and it may run again."""
        self.settle(request)
        stoppable = self.workload.settings.can_stop and request.request_class.effect == Effect.IDEMPOTENT
        if request.state in (RequestState.QUEUED, RequestState.SHARING):
            self.finish(request)
        elif request.state == RequestState.EXECUTING and stoppable:  # a keyed one's result may be shared
            self.actions.stop(request.index)

    def settle(self, request: Request) -> None:
        request.answered = True
        self.workload.queued.pop(request.index, None)
        self.workload.waiting.pop(request.index, None)
        self.workload.in_flight.answered(request.client, request.size_bytes)
        self.capacity.answered(request)

    def finish(self, request: Request) -> None:
        in_flight = self.workload.in_flight
        in_flight.used_bytes, request.state = in_flight.used_bytes - request.size_bytes, RequestState.DONE
        self.capacity.released(request)
        if request.key_expires_at_ms and not request.started:
            self._drop_key(request)
            self.actions.forget(request.index)
        self._release_index(request)

    def keep_key(self, now_ms: float, request: Request, queued_for_ms: float) -> None:
        kind = request.request_class
        keep_for_ms = max(1.0, kind.key_window_ms - queued_for_ms)
        request.key_expires_at_ms = (
            now_ms + keep_for_ms + kind.timeout_ms
        )  # a repeat in time may be read that much later
        self.workload.in_flight.used_bytes += self.workload.in_flight.key_size_bytes
        heapq.heappush(self.key_expiries, (request.key_expires_at_ms, request.index))
        self.actions.remember(request.index, keep_for_ms)

    def expire_keys(self, now_ms: float) -> None:
        while self.key_expiries and self.key_expiries[0][0] <= now_ms:
            expires_at_ms, index = heapq.heappop(self.key_expiries)
            request = self.workload.requests.get(index)
            if request is not None and request.key_expires_at_ms == expires_at_ms:
                self._drop_key(request)
                self._release_index(request)

    def resolve_repeat(self, request: Request, original: int, late: bool) -> bool:
        """True where the repeat needs no admission; False where it replaces an attempt that never ran."""
        first = self.workload.requests.get(original)
        if first and first.state == RequestState.QUEUED and not late and request.has_key:
            self.reject(first, True, 0.0)  # its client has given up on it, the newer one has more time
            return False
        request.state = RequestState.SHARING
        self.actions.share(request.index) if first else self.give_up(request)  # an unknown one may have run
        return True

    def _drop_key(self, request: Request) -> None:
        request.key_expires_at_ms = 0.0
        self.workload.in_flight.used_bytes -= self.workload.in_flight.key_size_bytes

    def _release_index(self, request: Request) -> None:
        if request.state == RequestState.DONE and not request.key_expires_at_ms:
            del self.workload.requests[request.index]
            self.actions.release(request.index)
