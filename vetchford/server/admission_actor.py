"""The actor that owns the admission controller and all that is kept of requests.

The actors of the peers post events to it, one method each. Nothing here blocks on a socket. Each concern has
a part of its own, which only the thread of this actor uses:

- `admission`: requests that arrive, clients that leave
- `runs`: what happens in the worker pool and to dependency calls
- `actions`: what the controller decides, carried out
- `shutdown`: from the termination notice to the end
- `state` and `gauges`: what they keep, and what the worker pool reports

Left here are the mailbox, the ticks and the load reports.
"""

import contextlib
import math
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Protocol

import structlog

from vetchford.admission import factory
from vetchford.admission.controller import AdmissionController
from vetchford.admission.request import Outcome
from vetchford.admission.settings import ServerSettings
from vetchford.protocol.messages import IncomingRequest
from vetchford.runtime.actor import Actor
from vetchford.runtime.metrics import Metrics
from vetchford.runtime.timers import Timers, unix_time_ms
from vetchford.server.calls_in_flight import CallsInFlight
from vetchford.server.idempotency_cache import IdempotencyCache
from vetchford.server.listener import Listener
from vetchford.server.records_client import RecordsClient
from vetchford.server.registry_reporter import RegistryReporter
from vetchford.server.request_admission import RequestAdmission
from vetchford.server.request_answers import RequestAnswers
from vetchford.server.request_table import Client, RequestTable
from vetchford.server.run_events import RunEvents
from vetchford.server.server_actions import ServerActions
from vetchford.server.server_clock import ServerClock
from vetchford.server.server_state import ServerState
from vetchford.server.shutdown import GracefulShutdown
from vetchford.server.worker_pool import WorkerPoolClient
from vetchford.server.worker_pool_commands import WorkerPoolCommands
from vetchford.server.worker_pool_gauges import WorkerPoolGauges

if TYPE_CHECKING:
    from vetchford.coordination.load_sampler import LoadSampler

log = structlog.get_logger()

OVERDUE_MS = 30.0  # past an answer's due time: the tick before it has answered, and 150 are allowed
SUMMARY_INTERVAL_MS = 10_000.0


class FleetSignals(Protocol):
    """What the servers of a fleet see together; see `vetchford.gossip.fleet_signals`."""

    call_slowdown: float
    call_capacity: float
    is_full: bool
    retry_after_factor: float


class AdmissionActor(Actor):
    """Takes the events of a server and hands them to its admission controller.

    There is no controller until the worker pool is bound; requests that are read before are rejected.
    """

    state: ServerState
    actions: ServerActions
    admission: RequestAdmission
    runs: RunEvents
    shutdown: GracefulShutdown

    def __init__(
        self,
        seed: int,
        settings: ServerSettings,
        metrics: Metrics,
        make_bulkheads: Callable[[], Any] | None = None,
    ) -> None:
        """Take the server's settings; without `make_bulkheads` request classes share all capacity."""
        super().__init__("admission", metrics)
        self.seed = seed
        self.settings = settings
        self.make_bulkheads = make_bulkheads
        self.clock = ServerClock()
        self.timers = Timers()
        self.gauges = WorkerPoolGauges(settings.gauge_indices())
        self.controller: AdmissionController | None = None
        self.load_sampler: LoadSampler | None = None  # set before `attach`, for a server in a fleet

    def attach(
        self,
        worker_pool: WorkerPoolClient,
        records: RecordsClient,
        registry: RegistryReporter,
        listener: Listener,
        on_stopped: Callable[[], None],
    ) -> None:
        """Set the peers, before the start; `on_stopped` is called on this actor's thread at the end."""
        requests = RequestTable()
        answers = RequestAnswers(requests, self.metrics)
        self.state = ServerState(
            metrics=self.metrics,
            clock=self.clock,
            timers=self.timers,
            requests=requests,
            answers=answers,
            idempotency_cache=IdempotencyCache(),
            commands=WorkerPoolCommands(worker_pool, requests, self.metrics),
            calls=CallsInFlight(records, self.timers, self.call_timed_out),
        )
        self.listener = listener
        self.registry = registry
        self.actions = ServerActions(self.state, listener, registry, self.tick)
        self.admission = RequestAdmission(self.state, self.actions)
        self.runs = RunEvents(self.state, self.admission, self.load_sampler)
        self.shutdown = GracefulShutdown(listener, answers, self.timers, self.log_summary, on_stopped)

    # -- the mailbox and the timers

    def next_timeout(self) -> float | None:
        """Return the seconds until the next timer."""
        return self.timers.next_timeout()

    def on_idle(self) -> None:
        """Fire the timers that are due."""
        self.timers.fire_due(self.run_guarded)

    def run_guarded(self, method: Callable[..., None], *arguments: Any) -> None:
        """Run one event, then what the controller's actions have deferred."""
        super().run_guarded(method, *arguments)
        while self.actions.deferred:
            shared = self.actions.deferred.popleft()
            super().run_guarded(self.admission.deliver_shared_result, self._bound_controller(), shared)

    # -- events of clients

    def request_arrived(self, client: Client, request: IncomingRequest) -> None:
        """Take a request that was read from a client's connection."""
        if self.controller is None:
            self.admission.reject_unready(client, request)
        else:
            self.admission.request_arrived(self.controller, client, request)

    def client_gone(self, client: Client) -> None:
        """Take that a client's connection broke."""
        if self.controller is not None:  # else there is no request of it
            self.admission.client_gone(self.controller, client)

    # -- events of the worker pool and the records service

    def worker_pool_bound(self, link: int, cold: bool, started_ms_ago: float) -> None:
        """Use a new link; `cold`: the worker pool's speed still rises, from its start on."""
        self.state.commands.link_bound(link)
        if self.controller is None:
            if self.shutdown.schedule.started():
                return  # a controller would report readiness, and what came before was rejected
            self._start_controller(cold, started_ms_ago)
        self.state.commands.poll()  # notices that come before the answer are the replay

    def worker_pool_lost(self) -> None:
        """Keep commands until another link is bound."""
        self.state.commands.link_lost()

    def poll_answered(self, reference: str, gauges: list[float]) -> None:
        """Take the gauges, and that all commands before the poll have arrived."""
        number = self.state.commands.poll_number(reference)
        if number is not None:
            self.gauges.update(gauges, self._bound_controller().workload.running)
            self.state.commands.poll_answered(number)

    def run_blocked(self, request_id: str, notice: int, body: bytes) -> None:
        """Take that a run waits for a dependency call."""
        self.runs.run_blocked(self._bound_controller(), request_id, notice, body)

    def run_ended(self, request_id: str, outcome: Outcome, duration_ms: float, content: str) -> None:
        """Take the end of a run; `content` is its result in base64."""
        self.runs.run_ended(self._bound_controller(), request_id, outcome, duration_ms, content)

    def command_unknown(self, command: str, request_id: str) -> None:
        """Take that the worker pool did not carry out a command."""
        self.runs.command_unknown(self._bound_controller(), command, request_id)

    def call_ended(self, number: int, outcome: Outcome, reply: bytes) -> None:
        """Take the outcome of a call to the records service."""
        self.runs.call_ended(self._bound_controller(), number, outcome, reply)

    def call_timed_out(self, number: int) -> None:
        """Take that the deadline of a call has passed, also if it has ended before."""
        self.runs.call_timed_out(self._bound_controller(), number)

    def _start_controller(self, cold: bool, started_ms_ago: float) -> None:
        self.clock.start(started_ms_ago)
        bulkheads = self.make_bulkheads() if self.make_bulkheads else None
        self.controller = factory.build(self.actions, self.seed, self.settings, cold, bulkheads)
        self.actions.controller = self.controller
        log.info("pool_bound", cold=cold, started_ms_ago=round(started_ms_ago))
        self.timers.schedule(unix_time_ms() + SUMMARY_INTERVAL_MS, self.log_summary)

    def _bound_controller(self) -> AdmissionController:
        """Return the controller, in events that come only after the worker pool was bound."""
        assert self.controller is not None
        return self.controller

    # -- ticks

    def tick(self) -> None:
        """Let the controller look at the time and the gauges; then what must happen whatever it does."""
        controller = self._bound_controller()
        on_cores = self.gauges.on_cores(controller.workload.running)
        # The callbacks run from the last to the first, also if `on_tick` or one of them raises.
        with contextlib.ExitStack() as always:
            always.callback(self.shutdown.advance_if_closing)
            always.callback(self._close_idle_connections)
            always.callback(self._fail_overdue, self.clock.now_ms() - OVERDUE_MS)
            controller.on_tick(self.clock.now_ms(), self.gauges.core_use(), on_cores)

    def _fail_overdue(self, before_ms: float) -> None:
        self.state.answers.fail_overdue(before_ms, self._bound_controller().health.latest_deadline_ms)

    def _close_idle_connections(self) -> None:
        if self.actions.idle_timeout_ms < math.inf:
            self.listener.close_idle(self.actions.idle_timeout_ms)

    # -- shutdown

    def shutdown_requested(self, signalled_at_unix_ms: float, stop_ms: float, grace_ms: float) -> None:
        """Start a graceful shutdown that counts from the signal, however late this is read."""
        answers_due_unix_ms = self.shutdown.start(signalled_at_unix_ms, stop_ms, grace_ms)
        if self.controller is None:  # no ticks come, and nothing can be run: only what was read is answered
            self.registry.post(self.registry.set_readiness, False)
            self.shutdown.advance_repeatedly()
            return
        origin_unix_ms = self.clock.origin_unix_ms
        self.controller.start_draining(
            signalled_at_unix_ms - origin_unix_ms, answers_due_unix_ms - origin_unix_ms
        )

    # -- load reports and the summary

    def sample_load(self, report: Callable[[dict[str, float]], None]) -> None:
        """Call `report` with figures for the other servers of the fleet; see `LoadSampler.figures`."""
        controller = self.controller
        if controller is None or self.load_sampler is None:
            return
        dependency = controller.workload.dependency
        in_flight = controller.workload.in_flight
        usual_duration_ms = dependency.base_time_ms.value if dependency is not None else 0.0
        figures = self.load_sampler.figures(
            self.clock.now_ms(),
            self.state.calls.start_times(),
            usual_duration_ms,
            self.metrics.snapshot(),
            in_flight.used_bytes,
            in_flight.memory_bytes,
        )
        report(figures)

    def fleet_signals_changed(self, signals: FleetSignals) -> None:
        """Hand what the fleet sees to the controller."""
        if self.controller is not None:
            self.controller.apply_fleet_signals(
                signals.call_slowdown, signals.call_capacity, signals.is_full, signals.retry_after_factor
            )

    def log_summary(self) -> None:
        """Log all counts, now and each `SUMMARY_INTERVAL_MS` from now on."""
        self.metrics.log_summary(
            open=self.state.answers.count_unanswered(),
            connections=len(self.listener.connections),
            known=len(self.state.requests),
        )
        self.timers.schedule(unix_time_ms() + SUMMARY_INTERVAL_MS, self.log_summary)
