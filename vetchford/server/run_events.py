"""Passes the worker pool's notices and the outcomes of dependency calls to the admission controller."""

from typing import TYPE_CHECKING

from vetchford.admission.controller import AdmissionController
from vetchford.admission.request import Outcome, RequestState
from vetchford.protocol import worker_pool_lines
from vetchford.server.idempotency_cache import RunResult
from vetchford.server.request_admission import RequestAdmission
from vetchford.server.server_actions import SharedResult
from vetchford.server.server_state import ServerState
from vetchford.server.worker_pool_command import CommandKind, UnconfirmedCommand

if TYPE_CHECKING:
    from vetchford.coordination.load_sampler import LoadSampler

COMPLETED = Outcome.COMPLETED  # a module global, as each access through the enum class costs a method call
SUPERSEDED = Outcome.SUPERSEDED
EXECUTING_STATES = (RequestState.EXECUTING,)
STARTED_STATES = (RequestState.EXECUTING, RequestState.WAITING_FOR_CALL, RequestState.CALLING)
MAX_LOGGED_ID_LENGTH = 64  # characters


class RunEvents:
    """Handles notices of the worker pool and outcomes of dependency calls.

    Used only on the admission actor's thread.
    """

    def __init__(
        self, state: ServerState, request_admission: RequestAdmission, load_sampler: "LoadSampler | None"
    ) -> None:
        """Handle events about the requests of `state`; `load_sampler` records the outcomes of calls."""
        self.request_admission = request_admission
        self.metrics = state.metrics
        self.clock = state.clock
        self.requests = state.requests
        self.answers = state.answers
        self.idempotency_cache = state.idempotency_cache
        self.commands = state.commands
        self.calls = state.calls
        self.load_sampler = load_sampler

    def run_blocked(
        self, controller: AdmissionController, request_id: str, notice: int, body: bytes | None
    ) -> None:
        """Handle the notice with number `notice` that a run waits for a dependency call.

        `body`: None if it can't be read, so that the call can't be made.
        """
        index = self._find_run(controller, request_id, EXECUTING_STATES)
        if index is None:
            return
        entry = self.requests[index]
        entry.command = None
        entry.blocked_notice = notice
        if controller.workload.dependency is None:  # passed on, it would make the controller raise each tick
            self._count_unexpected_notice(request_id, known=True)
        elif body is None:
            self.metrics.log_sampled("pool_call_unreadable", task=request_id[:MAX_LOGGED_ID_LENGTH])
            controller.call_impossible(self.clock.now_ms(), index)
        else:
            entry.call_body = body
            controller.run_blocked(self.clock.now_ms(), index)

    def run_ended(
        self,
        controller: AdmissionController,
        request_id: str,
        outcome: Outcome,
        duration_ms: float,
        content: str,
    ) -> None:
        """Handle the end of a run; `content` is its result in base64."""
        if self._is_abandoned(request_id):
            self._keep_late_result(request_id, outcome, content)
            return
        index = self._find_run(controller, request_id, STARTED_STATES)
        if index is None:
            return
        entry = self.requests[index]
        entry.command = None
        entry.content = ""
        self.calls.cancel(entry)
        if outcome == SUPERSEDED:  # the request never ran, so a request with the same key is no repeat
            self.idempotency_cache.forget(index)
            entry.ran_with_effects = False
        self.answers.run_ended(entry, outcome, content)
        result = RunResult(outcome == COMPLETED, content)
        followers = self.idempotency_cache.run_ended(index, result)
        controller.run_ended(self.clock.now_ms(), index, outcome, duration_ms)
        for follower in followers:
            self.request_admission.deliver_shared_result(controller, SharedResult(follower, result))

    def command_unconfirmed(self, controller: AdmissionController, command: UnconfirmedCommand) -> None:
        """Handle a command that may have been lost with the last link and is not sent again."""
        if command.kind == CommandKind.START_RUN:
            controller.start_unconfirmed(self.clock.now_ms(), command.request_index)
        else:
            controller.reply_unconfirmed(self.clock.now_ms(), command.request_index)

    def command_unknown(self, controller: AdmissionController, command: str, request_id: str) -> None:
        """Handle the worker pool's report that it did not carry out a command."""
        self.metrics.log_sampled("pool_unknown", command=command, task=request_id)
        index = self.requests.find(request_id)
        if command != worker_pool_lines.SPAWN or index is None:
            return
        # The worker pool will never report an end of this run, so the run is ended here.
        client = self.requests[index].client
        # Before `run_ended` frees a core, which would start the client's next queued request.
        self.request_admission.reject_queued_requests(controller, client)
        self.run_ended(controller, request_id, SUPERSEDED, 0.0, "")
        client.run_or_post(client.stop_reading)

    def call_ended(
        self, controller: AdmissionController, number: int, outcome: Outcome, reply: bytes
    ) -> None:
        """Handle the outcome of a call to the records service."""
        call = self.calls.end(number)
        if call is None:
            self.metrics.increment("calls_late")
            return
        index = call.request_index
        entry = self.requests[index]
        duration_ms = self.clock.now_ms() - call.started_at_ms
        entry.call_number = 0
        self.metrics.increment("calls_" + outcome)
        if self.load_sampler is not None:
            self.load_sampler.call_ended(self.clock.now_ms(), outcome, duration_ms)
        if outcome == COMPLETED:
            self.commands.supply_reply(entry, reply)
        controller.call_ended(self.clock.now_ms(), index, outcome, duration_ms)

    def call_timed_out(self, controller: AdmissionController, number: int) -> None:
        """Cancel a call at its deadline, if the call is still in flight."""
        index = self.calls.find_request(number)
        if index is not None:
            self.calls.records.cancel_call(self.requests[index].request_id, number)
            self.call_ended(controller, number, Outcome.OVERDUE, b"")

    def _is_abandoned(self, request_id: str) -> bool:
        index = self.requests.find(request_id)
        return index is not None and self.requests[index].run_abandoned

    def _keep_late_result(self, request_id: str, outcome: Outcome, content: str) -> None:
        """Keep the result of a run that had started although it was abandoned, for repeats of its request."""
        self.metrics.increment("runs_ended_after_abandon")
        index = self.requests.find(request_id)
        if index is not None and outcome == COMPLETED:
            self.idempotency_cache.run_ended(index, RunResult(True, content))

    def _find_run(
        self, controller: AdmissionController, request_id: str, states: tuple[int, ...]
    ) -> int | None:
        """Return the index of a notice's request; count the notice and return None if no run matches it."""
        index = self.requests.find(request_id)
        requests = controller.workload.requests
        if index is None or index not in requests or requests[index].state not in states:
            self._count_unexpected_notice(request_id, known=index is not None)
            return None
        return index

    def _count_unexpected_notice(self, request_id: str, known: bool) -> None:
        self.metrics.log_sampled("pool_odd_notice", task=request_id[:MAX_LOGGED_ID_LENGTH], known=known)
