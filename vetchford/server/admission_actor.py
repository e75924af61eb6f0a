"""The actor that owns the admission controller and all that is kept of requests.

The actors of the peers post events to it, one method each. It hands them to the controller, whose decisions
come back as calls of `ServerActions`. Nothing here blocks on a socket. What is kept lies in parts of one job
each, which only the thread of this actor uses:

- `requests`, `answers` and `idempotency_cache`: the requests, their answers, and whose result is shared
- `commands` and `gauges`: what the worker pool is sent, and what it reports
- `calls`: the calls to the records service in flight
- `shutdown`: from the termination notice to the end
- `clock` and `timers`: the time that decisions are made by, and what is due at a time
"""

import contextlib
import hashlib
import math
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Protocol

import structlog

from vetchford.admission import controller as admission
from vetchford.admission import factory
from vetchford.admission.controller import AdmissionController
from vetchford.protocol import json_rpc
from vetchford.protocol.messages import IncomingRequest
from vetchford.runtime.actor import Actor
from vetchford.runtime.metrics import Metrics
from vetchford.runtime.timers import Timers, unix_time_ms
from vetchford.server.client_connections import Listener
from vetchford.server.dependency_calls import DependencyCalls
from vetchford.server.idempotency_cache import IdempotencyCache, RunResult
from vetchford.server.records_client import RecordsClient
from vetchford.server.registry_reporter import RegistryReporter
from vetchford.server.request_answers import RequestAnswers
from vetchford.server.request_table import Client, RequestEntry, RequestTable
from vetchford.server.server_actions import ServerActions, SharedResult
from vetchford.server.server_clock import ServerClock
from vetchford.server.shutdown import GracefulShutdown
from vetchford.server.worker_pool import WorkerPoolClient
from vetchford.server.worker_pool_commands import WorkerPoolCommands
from vetchford.server.worker_pool_gauges import WorkerPoolGauges

if TYPE_CHECKING:
    from vetchford.coordination.load_sampler import LoadSampler

log = structlog.get_logger()

OVERDUE = 30.0  # ms past an answer's due time: the tick before it has answered, and 150 are allowed
SUMMARY_INTERVAL = 10_000.0  # ms
MAX_LOGGED_ID = 64  # characters
KEY_DIGEST_SIZE = 16  # bytes
EXECUTING_STATES = (admission.RUNNING,)
STARTED_STATES = (admission.RUNNING, admission.PARKED, admission.CALLING)


class FleetSignals(Protocol):
    """What the servers of a fleet see together; see `vetchford.gossip.fleet_signals`."""

    pace: float
    room: float
    full: bool
    stretch: float


class AdmissionActor(Actor):
    """Takes the events of a server and hands them to its admission controller.

    There is no controller until the worker pool is bound; requests that are read before are rejected.
    """

    requests: RequestTable
    answers: RequestAnswers
    commands: WorkerPoolCommands
    calls: DependencyCalls
    actions: ServerActions
    shutdown: GracefulShutdown

    def __init__(
        self,
        seed: int,
        settings: dict[str, Any],
        metrics: Metrics,
        make_bulkheads: Callable[[], Any] | None = None,
    ) -> None:
        """Take the platform's `settings`; without `make_bulkheads` request classes share all capacity."""
        super().__init__("module", metrics)
        self.seed, self.settings, self.make_bulkheads = seed, settings, make_bulkheads
        self.clock, self.timers = ServerClock(), Timers()
        self.requests, self.idempotency_cache = RequestTable(), IdempotencyCache()
        self.answers = RequestAnswers(self.requests, metrics)
        self.gauges = WorkerPoolGauges(factory.indices(settings)[2])
        self.controller: AdmissionController | None = None
        self.load_sampler: LoadSampler | None = None  # set for a server that is part of a fleet

    def attach(
        self,
        worker_pool: WorkerPoolClient,
        records: RecordsClient,
        registry: RegistryReporter,
        listener: Listener,
        on_stopped: Callable[[], None],
    ) -> None:
        """Set the peers, before the start; `on_stopped` is called on this actor's thread at the end."""
        self.listener, self.registry = listener, registry
        self.commands = WorkerPoolCommands(worker_pool, self.requests, self.metrics)
        self.calls = DependencyCalls(records, self.timers, self.call_timed_out)
        self.shutdown = GracefulShutdown(listener, self.answers, self.timers, self.log_summary, on_stopped)
        self.actions = ServerActions(
            metrics=self.metrics,
            clock=self.clock,
            timers=self.timers,
            requests=self.requests,
            idempotency_cache=self.idempotency_cache,
            answers=self.answers,
            commands=self.commands,
            calls=self.calls,
            listener=listener,
            registry=registry,
            on_tick=self.tick,
        )

    # -- the mailbox and the timers

    def next_timeout(self) -> float | None:
        """Return the seconds until the next timer."""
        return self.timers.next_timeout()

    def on_idle(self) -> None:
        """Fire the timers that are due."""
        self.timers.fire_due(self.run_guarded)

    def run_guarded(self, act: Callable[..., None], *given: Any) -> None:
        """Run one event, then what the controller's actions have deferred."""
        super().run_guarded(act, *given)
        while self.actions.deferred:
            super().run_guarded(self._deliver_shared_result, self.actions.deferred.popleft())

    # -- requests

    def request_arrived(self, client: Client, request: IncomingRequest) -> None:
        """Take a request that was read from a client's connection."""
        if self.controller is None:  # the worker pool is not up: it never ran
            self.metrics.increment("rejected_no_pool")
            client.answer(request.rpc_id, json_rpc.rejected(request.rpc_id, False, 0.0))
        elif self.requests.find(request.request_id) is not None:
            self._refuse_duplicate_id(client, request)
        else:
            self._admit(self.controller, client, request)

    def client_gone(self, client: Client) -> None:
        """Give up what is unanswered of a client whose connection broke."""
        indices = [index for index, entry in self.requests.unanswered() if entry.client is client]
        for index in indices:
            if self.requests.is_unanswered(index):
                self.requests[index].answered = True
                self.metrics.increment("callers_gone")
                self._bound_controller().client_gone(self.clock.now(), index)

    def _refuse_duplicate_id(self, client: Client, request: IncomingRequest) -> None:
        code, problem = json_rpc.INVALID_PARAMS, "field 'txn' is in use"
        self.metrics.log_sampled("balancer_bad_message", code=code, problem=problem)
        client.answer(request.rpc_id, json_rpc.error(request.rpc_id, code, problem))

    def _admit(self, controller: AdmissionController, client: Client, request: IncomingRequest) -> None:
        now, arrived_at = self.clock.now(), request.arrived_at - self.clock.origin
        request_class = controller.stages[request.request_class]
        # No client waits for longer than the limit of the class, nor asks for more work than fits into it: a
        # request that claims so must neither be queued for hours nor outweigh all others in what is learnt.
        deadline = None
        if request.time_limit is not None:
            deadline = arrived_at + min(request.time_limit, request_class.limit)
        work = None if request.cpu_time is None else min(request.cpu_time, request_class.limit)
        answer_due = max(now, arrived_at + request_class.limit if deadline is None else deadline)
        entry = RequestEntry(
            request.request_id, request.method, client, request.rpc_id, request.content, answer_due
        )
        original = None
        if request.idempotency_key is not None and request_class.effect == admission.FINGERPRINTED:
            entry.idempotency_key = qualified_key(request)
            original = self.idempotency_cache.find_original(entry.idempotency_key, request.arrived_at)
            entry.original = -1 if original is None else original
        index = self.requests.add(entry)
        self.metrics.increment("read")
        self.actions.arriving = index
        controller.request_arrived(
            now,
            index,
            request.request_class,
            request.tenant,
            request.balancer,
            deadline,
            work,
            max(1, round(request.memory_kb * factory.BYTES_PER_KB)),
            False,
            max(0.0, now - arrived_at),
            original,
        )
        self.actions.arriving = -1

    def _deliver_shared_result(self, shared: SharedResult) -> None:
        index, result = shared
        if not self.requests.is_unanswered(index):
            return
        code = "completed" if result.completed else "errored"
        self.answers.run_ended(self.requests[index], code, result.content)
        self._bound_controller().run_ended(self.clock.now(), index, code, 0.0)

    # -- the worker pool

    def worker_pool_bound(self, link: int, cold: bool, started_ago: float) -> None:
        """Use a new link; `cold`: speed still rises from the worker pool's start, `started_ago` ms ago."""
        self.commands.link_bound(link)
        if self.controller is None:
            if self.shutdown.schedule.started():
                return  # a controller would report readiness, and what came before was rejected
            self._start_controller(cold, started_ago)
        self.commands.poll()  # what is read before its answer is the replay

    def worker_pool_lost(self) -> None:
        """Keep commands until another link is bound."""
        self.commands.link_lost()

    def poll_answered(self, reference: str, gauges: list[float]) -> None:
        """Take the gauges, and that all commands before the poll have arrived."""
        number = self.commands.poll_number(reference)
        if number is not None:
            self.gauges.update(gauges, self._bound_controller().running)
            self.commands.poll_answered(number)

    def run_blocked(self, request_id: str, notice: int, body: bytes) -> None:
        """Take that a run waits for a dependency call, by notice number `notice`."""
        index = self._find_run(request_id, EXECUTING_STATES)
        if index is None:
            return
        entry = self.requests[index]
        entry.command, entry.blocked_notice, entry.call_body = None, notice, body
        controller = self._bound_controller()
        if controller.calls is None:  # there is no dependency: the controller would fail in each tick
            self._count_odd_notice(request_id, known=True)
            return
        controller.run_blocked(self.clock.now(), index)

    def run_ended(self, request_id: str, code: str, duration: float, content: str) -> None:
        """Take the end of a run: its outcome, the ms it took and its result in base64."""
        index = self._find_run(request_id, STARTED_STATES)
        if index is None:
            return
        entry = self.requests[index]
        entry.command, entry.content = None, ""
        self.calls.cancel(entry)
        if code == "superseded":  # it never ran: a request with its key is no repeat of it
            self.idempotency_cache.forget(index)
        self.answers.run_ended(entry, code, content)
        result = RunResult(code == "completed", content)
        followers = self.idempotency_cache.run_ended(index, result)
        self._bound_controller().run_ended(self.clock.now(), index, code, duration)
        for follower in followers:
            self._deliver_shared_result(SharedResult(follower, result))

    def command_unknown(self, command: str, request_id: str) -> None:
        """Take that the worker pool did not carry out a command."""
        self.metrics.log_sampled("pool_unknown", command=command, task=request_id)
        index = self.requests.find(request_id)
        if command != "spawn" or index is None:
            return
        # No end of this run will ever be reported.
        client = self.requests[index].client
        self._reject_queued_of(client)  # before this end frees a core for its next request
        self.run_ended(request_id, "superseded", 0.0, "")
        client.run_or_post(client.distrust)

    def _start_controller(self, cold: bool, started_ago: float) -> None:
        self.clock.start(started_ago)
        bulkheads = self.make_bulkheads() if self.make_bulkheads else None
        self.controller = factory.build(self.actions, self.seed, self.settings, cold, bulkheads)
        self.actions.controller = self.controller
        log.info("pool_bound", cold=cold, started_ms_ago=round(started_ago))
        self.timers.schedule(unix_time_ms() + SUMMARY_INTERVAL, self.log_summary)

    def _find_run(self, request_id: str, states: tuple[int, ...]) -> int | None:
        """Return the request of a notice; None, counted, where the notice can't be about a run of it."""
        index = self.requests.find(request_id)
        tasks = self._bound_controller().tasks
        if index is None or index not in tasks or tasks[index].state not in states:
            self._count_odd_notice(request_id, known=index is not None)
            return None
        return index

    def _count_odd_notice(self, request_id: str, known: bool) -> None:
        self.metrics.log_sampled("pool_odd_notice", task=request_id[:MAX_LOGGED_ID], known=known)

    def _reject_queued_of(self, client: Client) -> None:
        """Reject what is queued of a client whose requests did not come by the balancers."""
        controller = self._bound_controller()
        for index, entry in self.requests.unanswered():
            if entry.client is client and index in controller.held:
                self.answers.reject(entry, True, 0.0, "rejected_distrusted")
                controller.client_gone(self.clock.now(), index)

    # -- dependency calls

    def call_ended(self, number: int, code: str, reply: bytes) -> None:
        """Take the outcome of a call to the records service."""
        call = self.calls.end(number)
        if call is None:
            self.metrics.increment("calls_late")
            return
        entry, duration = self.requests[call.request_index], self.clock.now() - call.started_at
        entry.call_number = 0
        self.metrics.increment("calls_" + code)
        if self.load_sampler is not None:
            self.load_sampler.call_ended(self.clock.now(), code, duration)
        if code == "completed":
            self.commands.supply_reply(entry, reply)
        self._bound_controller().call_ended(self.clock.now(), call.request_index, code, duration)

    def call_timed_out(self, number: int) -> None:
        """Give up a call at its deadline, if it is still in flight."""
        index = self.calls.find(number)
        if index is not None:
            self.calls.records.unop(self.requests[index].request_id, number)
            self.call_ended(number, "overdue", b"")

    # -- ticks

    def tick(self) -> None:
        """Let the controller look at the time and the gauges; then what must happen whatever it does."""
        controller = self._bound_controller()
        now, on_cores = self.clock.now(), self.gauges.on_cores(controller.running)
        # The callbacks run from the last to the first, also if `on_tick` or one of them raises.
        with contextlib.ExitStack() as always:
            always.callback(self.shutdown.advance_if_closing)
            always.callback(self._close_idle_connections)
            always.callback(self._fail_overdue, now - OVERDUE)
            controller.on_tick(self.clock.now(), self.gauges.core_use(), on_cores)

    def _fail_overdue(self, before: float) -> None:
        self.answers.fail_overdue(before, self._bound_controller().kill)

    def _close_idle_connections(self) -> None:
        if self.actions.idle_timeout < math.inf:
            self.listener.close_idle(self.actions.idle_timeout)

    # -- shutdown

    def shutdown_requested(self, signalled_at: float, stop_ms: float, grace: float) -> None:
        """Start a graceful shutdown that counts from Unix ms `signalled_at`, however late this is read."""
        answers_due = self.shutdown.start(signalled_at, stop_ms, grace)
        if self.controller is None:  # no ticks come, and nothing can be run: only what was read is answered
            self.registry.post(self.registry.judge, False)
            self.shutdown.advance_repeatedly()
            return
        origin = self.clock.origin
        self.controller.start_draining(signalled_at - origin, answers_due - origin)

    # -- load reports and the summary

    def sample_load(self, report: Callable[[dict[str, float]], None]) -> None:
        """Call `report` with figures for the other servers of the fleet; see `LoadSampler.figures`."""
        controller = self.controller
        if controller is None or self.load_sampler is None:
            return
        usual_duration = controller.calls.base.value if controller.calls is not None else 0.0
        counters = controller.counters
        figures = self.load_sampler.figures(
            self.clock.now(),
            self.calls.start_times(),
            usual_duration,
            self.metrics.by_name.copy(),
            counters.used,
            counters.memory,
        )
        report(figures)

    def fleet_signals_changed(self, signals: FleetSignals) -> None:
        """Hand what the fleet sees to the controller."""
        if self.controller is not None:
            self.controller.apply_fleet_signals(signals.pace, signals.room, signals.full, signals.stretch)

    def log_summary(self) -> None:
        """Log all counts, now and each `SUMMARY_INTERVAL` from now on."""
        self.metrics.log_summary(
            open=self.answers.count_unanswered(),
            connections=len(self.listener.connections),
            known=len(self.requests),
        )
        self.timers.schedule(unix_time_ms() + SUMMARY_INTERVAL, self.log_summary)

    def _bound_controller(self) -> AdmissionController:
        """Return the controller, in events that come only after the worker pool was bound."""
        assert self.controller is not None
        return self.controller


def qualified_key(request: IncomingRequest) -> str:
    """Return the key of a request with its class and a digest of its body.

    All attempts of a request carry the same body: the same key with another one is no repeat.
    """
    digest = hashlib.blake2b(request.content.encode(), digest_size=KEY_DIGEST_SIZE).hexdigest()
    return f"{request.request_class} {request.idempotency_key} {digest}"
