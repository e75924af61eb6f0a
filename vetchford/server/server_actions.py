"""Carries out the decisions of the admission controller: answers, runs, dependency calls and timers."""

import math
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

import structlog

from vetchford.admission.actions import AdmissionActions
from vetchford.admission.controller import AdmissionController
from vetchford.admission.rejection import RejectionReason
from vetchford.admission.settings import Effect
from vetchford.runtime.timers import unix_time_ms
from vetchford.server.idempotency_cache import RunResult
from vetchford.server.listener import Listener
from vetchford.server.registry_reporter import RegistryReporter
from vetchford.server.request_table import NO_ORIGINAL, RequestEntry
from vetchford.server.server_state import ServerState

log = structlog.get_logger()

# The worker pool's answer usually takes under 1 ms, and a few ms on a busy machine.
POLL_BEFORE_TICK_MS = 6.0
NOT_COMPLETED = RunResult(False, "")
REASON_COUNTERS = {reason: f"rejection_{reason.name.lower()}" for reason in RejectionReason}
"""Counters `rejection_*`: rejections by the rule that rejected.

Each rejection is also counted by one of the counters `rejected_*`, by the state of the server and of the
request instead of the rule (`_rejection_counter`).
"""


class SharedResult(NamedTuple):
    """The result of an original request, which a repeated request is to be answered with."""

    request_index: int
    result: RunResult


class ServerActions(AdmissionActions):
    """Answers clients, commands the worker pool and calls the records service as the controller decides.

    The controller calls these methods from its own methods, on the admission actor's thread. Shared results
    call back into the controller, so they are put in `deferred_results`, which the actor delivers once the
    controller has returned.
    """

    controller: AdmissionController  # set by the admission actor before the first request is admitted

    def __init__(
        self,
        state: ServerState,
        listener: Listener,
        registry: RegistryReporter,
        on_tick: Callable[[], None],
    ) -> None:
        """Act on the requests of `state`; `on_tick` is called whenever a tick of the controller is due."""
        self.metrics = state.metrics
        self.clock = state.clock
        self.timers = state.timers
        self.requests = state.requests
        self.answers = state.answers
        self.idempotency_cache = state.idempotency_cache
        self.recent_request_ids = state.recent_request_ids
        self.commands = state.commands
        self.calls = state.calls
        self.listener = listener
        self.registry = registry
        self.on_tick = on_tick
        self.deferred_results: deque[SharedResult] = deque()
        self.arriving_index: int | None = None  # of the request that the controller is deciding on
        self.idle_timeout_ms = math.inf  # after which an idle client connection is closed

    def start(self, index: int) -> None:
        """Start the run of a queued request."""
        entry = self.requests[index]
        is_idempotent = self._is_idempotent(index)
        entry.ran_with_effects = not is_idempotent
        self.commands.start_run(entry, is_idempotent)

    def stop(self, index: int) -> None:
        """Count the stop only: the worker pool has no such command. The end of the run changes no answer."""
        self.metrics.increment("stops_not_sent")

    def reject(self, index: int, terminal: bool, retry_after_ms: float, reason: RejectionReason) -> None:
        """Answer that the request was rejected and never ran, and count it."""
        self.metrics.increment(REASON_COUNTERS[reason])
        self.answers.reject(self.requests[index], terminal, retry_after_ms, self._rejection_counter(index))

    def fail(self, index: int) -> None:
        """Answer with an error."""
        self.answers.fail(self.requests[index])

    def share(self, index: int) -> None:
        """Answer with the result of the original request, now or when its run ends."""
        original = self.requests[index].original
        result = self.idempotency_cache.results.get(original)
        if result is not None:
            self.deferred_results.append(SharedResult(index, result))
        else:
            self.idempotency_cache.add_follower(original, index)

    def call(self, index: int, abandon_at_ms: float) -> None:
        """Make the dependency call that the run waits for."""
        deadline_unix_ms = self.clock.origin_unix_ms + abandon_at_ms
        self.calls.start(
            index, self.requests[index], self.clock.now_ms(), deadline_unix_ms, self._is_idempotent(index)
        )

    def skip(self, index: int) -> None:
        """Let the run continue without its dependency call."""
        self.commands.skip_call(self.requests[index])

    def abandon_run(self, index: int) -> None:
        """Fail the repeats that wait for the run; its idempotency key is kept, as it may have started."""
        self.metrics.increment("runs_abandoned")
        entry = self.requests[index]
        entry.run_abandoned = True
        entry.content = ""
        for follower in self.idempotency_cache.run_ended(index, NOT_COMPLETED):
            self.deferred_results.append(SharedResult(follower, NOT_COMPLETED))

    def remember(self, index: int, keep_for_ms: float) -> None:
        """Keep the idempotency key of the request, if it has one, for `keep_for_ms` from now."""
        key = self.requests[index].idempotency_key
        if key is not None:
            expires_unix_ms = math.ceil(self.clock.origin_unix_ms + self.clock.now_ms() + keep_for_ms)
            self.idempotency_cache.remember(key, index, expires_unix_ms)

    def forget(self, index: int) -> None:
        """Drop the idempotency key of the request: a later request with this key is no repeat of it."""
        self.idempotency_cache.forget(index)

    def release(self, index: int) -> None:
        """Remove the request from the table and the idempotency cache."""
        entry = self.requests[index]
        self.metrics.check_invariant(entry.answered, "released_after_its_answer", task=entry.request_id)
        if entry.original != NO_ORIGINAL:
            self.idempotency_cache.remove_follower(entry.original, index)
        for follower in self.idempotency_cache.release(index):
            self.deferred_results.append(SharedResult(follower, NOT_COMPLETED))
        self._keep_id(entry)
        self.requests.release(index)

    def _keep_id(self, entry: RequestEntry) -> None:
        """Keep the id of a request that ran with effects, for as long as any client waits for an answer."""
        if entry.ran_with_effects:
            keep_for_ms = max(each.timeout_ms for each in self.controller.workload.classes)
            self.recent_request_ids.add(entry.request_id, self.clock.now_ms(), keep_for_ms)

    def report_idle_refusals(self, refused: int, duration_ms: float) -> None:
        """Count and log that estimates refused all requests of a class though cores were free."""
        self.metrics.log_sampled("idle_refusals", refused=refused, duration_ms=round(duration_ms))

    def set_readiness(self, ready: bool) -> None:
        """Use `ready` as the answer to health checks, and report it to the registry."""
        self.listener.ready = ready
        self.registry.post(self.registry.set_readiness, ready)
        log.info("readiness_changed", good=ready)

    def publish_load(self, value: float) -> None:
        """Do nothing, as the answers to clients have no field for a load value."""

    def set_idle_timeout(self, timeout_ms: float) -> None:
        """Close connections that were idle for `timeout_ms`, from the next tick on."""
        self.idle_timeout_ms = timeout_ms

    def schedule_tick(self, delay_ms: float) -> None:
        """Schedule `on_tick` after `delay_ms`, and a poll of the gauges shortly before it."""
        due_unix_ms = unix_time_ms() + delay_ms
        self.timers.schedule(due_unix_ms - POLL_BEFORE_TICK_MS, self.commands.poll)
        self.timers.schedule(due_unix_ms, self.on_tick)

    def _rejection_counter(self, index: int) -> str:
        """Return the counter `rejected_*` for a rejection by any rule; the first that applies.

        `rejected_draining`: after the termination notice. `rejected_stalled`: while no run makes progress.
        `rejected_at_door`: the request is arriving. `rejected_held`: the request was queued.
        """
        if self.controller.health.termination_notice_at_ms < math.inf:
            return "rejected_draining"
        if self.controller.health.stalled:
            return "rejected_stalled"
        if index == self.arriving_index:
            return "rejected_at_door"
        return "rejected_held"

    def _is_idempotent(self, index: int) -> bool:
        return self.controller.workload.requests[index].request_class.effect == Effect.IDEMPOTENT
