"""Passes requests that arrive and clients that disconnect to the admission controller."""

import hashlib

from vetchford.admission.controller import AdmissionController
from vetchford.admission.request import Outcome, RequestArrival
from vetchford.admission.settings import Effect
from vetchford.protocol import json_rpc
from vetchford.protocol.messages import IncomingRequest
from vetchford.protocol.platform_settings import BYTES_PER_KB
from vetchford.server.request_table import Client, RequestEntry
from vetchford.server.server_actions import ServerActions, SharedResult
from vetchford.server.server_state import ServerState

KEY_DIGEST_BYTES = 16


class RequestAdmission:
    """Adds requests to the table, and answers those that need no decision of the controller.

    Used only on the admission actor's thread.
    """

    def __init__(self, state: ServerState, actions: ServerActions) -> None:
        """Add requests to the table of `state`; `actions` are those that the controller calls."""
        self.actions = actions
        self.metrics = state.metrics
        self.clock = state.clock
        self.requests = state.requests
        self.answers = state.answers
        self.idempotency_cache = state.idempotency_cache
        self.recent_request_ids = state.recent_request_ids

    def reject_unready(self, client: Client, request: IncomingRequest) -> None:
        """Reject a request that arrived before the worker pool was bound."""
        self.metrics.increment("rejected_no_pool")
        client.answer(request.rpc_id, json_rpc.rejected(request.rpc_id, False, 0.0))

    def request_arrived(
        self, controller: AdmissionController, client: Client, request: IncomingRequest
    ) -> None:
        """Let the controller admit or reject a request; answer with an error if its id is in use.

        A request whose client has left is dropped: it has not run, and nobody waits for its answer.
        """
        if client.is_gone():
            self.metrics.increment("callers_gone_unread")
            return
        if request.over_open_limit and not self._repeats_an_original(request):
            self.metrics.increment("rejected_over_open")
            client.answer(request.rpc_id, json_rpc.rejected(request.rpc_id, False, 0.0))
            return
        if not self._is_id_in_use(request.request_id):
            self._admit(controller, client, request)
            return
        error = json_rpc.RequestIdInUseError(request.rpc_id)
        self.metrics.log_sampled("balancer_bad_message", code=error.code, problem=str(error))
        client.answer(request.rpc_id, json_rpc.error(request.rpc_id, error.code, str(error)))

    def client_disconnected(self, controller: AdmissionController, client: Client) -> None:
        """Abandon the unanswered requests of a client whose connection broke."""
        indices = [index for index, entry in self.requests.unanswered() if entry.client is client]
        for index in indices:
            if self.requests.is_unanswered(index):
                self.requests[index].answered = True
                self.metrics.increment("callers_gone")
                controller.client_disconnected(self.clock.now_ms(), index)

    def reject_queued_requests(self, controller: AdmissionController, client: Client) -> None:
        """Reject the queued requests of a client that is not trusted any more.

        The worker pool did not know one of its requests, so they did not come through a load balancer.
        """
        for index, entry in self.requests.unanswered():
            if entry.client is client and index in controller.workload.queued:
                self.answers.reject(entry, True, 0.0, "rejected_distrusted")
                controller.client_disconnected(self.clock.now_ms(), index)

    def deliver_shared_result(self, controller: AdmissionController, shared_result: SharedResult) -> None:
        """Answer a repeated request with the result of its original."""
        index, result = shared_result
        if not self.requests.is_unanswered(index):
            return
        outcome = Outcome.COMPLETED if result.completed else Outcome.ERRORED
        self.answers.run_ended(self.requests[index], outcome, result.content)
        controller.run_ended(self.clock.now_ms(), index, outcome, 0.0)

    def _admit(self, controller: AdmissionController, client: Client, request: IncomingRequest) -> None:
        now_ms = self.clock.now_ms()
        arrived_at_ms = request.arrived_at_unix_ms - self.clock.origin_unix_ms
        request_class = controller.workload.classes[request.request_class]
        # The client's timeout and work are capped by the timeout of the request class. Otherwise one request
        # with extreme values could stay queued for hours or dominate the estimates learnt from all requests.
        deadline_ms = None
        if request.client_timeout_ms is not None:
            deadline_ms = arrived_at_ms + min(request.client_timeout_ms, request_class.timeout_ms)
        work_ms = None if request.work_ms is None else min(request.work_ms, request_class.timeout_ms)
        latest_answer_ms = arrived_at_ms + request_class.timeout_ms if deadline_ms is None else deadline_ms
        answer_due_ms = max(now_ms, latest_answer_ms)
        entry = RequestEntry(
            request_id=request.request_id,
            method=request.method,
            client=client,
            rpc_id=request.rpc_id,
            content=request.content,
            answer_due_ms=answer_due_ms,
        )
        original = None
        if request.idempotency_key is not None and request_class.effect == Effect.IDEMPOTENT_BY_KEY:
            original = self._find_original(entry, request)
        index = self.requests.add(entry)
        self.metrics.increment("read")
        self.actions.arriving_index = index
        arrival = RequestArrival(
            request_index=index,
            class_index=request.request_class,
            tenant=request.tenant,
            client=request.client_number,
            deadline_ms=deadline_ms,
            work_ms=work_ms,
            size_bytes=max(1, round(request.memory_kb * BYTES_PER_KB)),
            is_retry=False,  # the protocol does not mark retries
            queued_for_ms=max(0.0, now_ms - arrived_at_ms),
            original=original,
            max_unread_ms=now_ms - (request.unread_since_unix_ms - self.clock.origin_unix_ms),
        )
        controller.request_arrived(now_ms, arrival)
        self.actions.arriving_index = None

    def _repeats_an_original(self, request: IncomingRequest) -> bool:
        key = qualified_key(request)
        return self.idempotency_cache.find_original(key, request.arrived_at_unix_ms) is not None

    def _is_id_in_use(self, request_id: str) -> bool:
        if self.requests.find(request_id) is not None:
            return True
        return self.recent_request_ids.contains(request_id, self.clock.now_ms())

    def _find_original(self, entry: RequestEntry, request: IncomingRequest) -> int | None:
        """Set the idempotency key of an entry; return the index of the request that it repeats, if any."""
        entry.idempotency_key = qualified_key(request)
        original = self.idempotency_cache.find_original(entry.idempotency_key, request.arrived_at_unix_ms)
        if original is not None:
            entry.original = original
        return original


def qualified_key(request: IncomingRequest) -> str:
    """Return the idempotency key of a request, qualified by its request class and a digest of its body.

    All attempts of a request carry the same body, so the same key with another body is another request.
    """
    digest = hashlib.blake2b(request.content.encode(), digest_size=KEY_DIGEST_BYTES).hexdigest()
    return f"{request.request_class} {request.idempotency_key} {digest}"
