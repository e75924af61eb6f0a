"""The actor that owns the admission controller and the state of all requests.

The listener, the worker pool client and the records client post events to it; each event is one method.
Nothing here blocks on a socket. Each concern has a class of its own, used only on this actor's thread:

- `request_admission`: requests that arrive, clients that disconnect
- `run_events`: notices of the worker pool and outcomes of dependency calls
- `actions`: carries out the controller's decisions
- `shutdown`: the graceful shutdown, from the termination signal to the exit
- `state` and `gauges`: the state that these share, and the load that the worker pool reports

This module holds the mailbox, the ticks and the load reports.
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
from vetchford.server.recent_request_ids import RecentRequestIds
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

# After an answer's due time. The tick before that time should have answered; a delay of 150 ms is allowed.
OVERDUE_MARGIN_MS = 30.0
SUMMARY_INTERVAL_MS = 10_000.0


class FleetSignals(Protocol):
    """Load signals aggregated over the servers of a fleet; see `vetchford.gossip.fleet_signals`."""

    call_slowdown: float
    call_capacity: float
    is_full: bool
    retry_after_factor: float


class AdmissionActor(Actor):
    """Receives the events of a server and passes them to its admission controller.

    The controller is created once the worker pool is bound; requests that arrive earlier are rejected.
    """

    state: ServerState
    actions: ServerActions
    request_admission: RequestAdmission
    run_events: RunEvents
    shutdown: GracefulShutdown

    def __init__(
        self,
        seed: int,
        settings: ServerSettings,
        metrics: Metrics,
        make_bulkheads: Callable[[], Any] | None = None,
    ) -> None:
        """Use the server's settings; without `make_bulkheads` all request classes share the capacity."""
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
        """Connect the server's other actors, before the start.

        `on_stopped` is called on this actor's thread once a graceful shutdown has finished.
        """
        requests = RequestTable()
        answers = RequestAnswers(requests, self.metrics)
        self.state = ServerState(
            metrics=self.metrics,
            clock=self.clock,
            timers=self.timers,
            requests=requests,
            answers=answers,
            idempotency_cache=IdempotencyCache(),
            recent_request_ids=RecentRequestIds(),
            commands=WorkerPoolCommands(worker_pool, requests, self.metrics),
            calls=CallsInFlight(records, self.timers, self.call_timed_out),
        )
        self.listener = listener
        self.registry = registry
        self.actions = ServerActions(self.state, listener, registry, self.tick)
        self.request_admission = RequestAdmission(self.state, self.actions)
        self.run_events = RunEvents(self.state, self.request_admission, self.load_sampler)
        self.shutdown = GracefulShutdown(listener, answers, self.timers, self.log_summary, on_stopped)

    # -- the mailbox and the timers

    def next_timeout(self) -> float | None:
        """Return the seconds until the next timer is due, or None if no timer is scheduled."""
        return self.timers.next_timeout()

    def on_idle(self) -> None:
        """Fire the timers that are due."""
        self.timers.fire_due(self.run_guarded)

    def run_guarded(self, method: Callable[..., None], *arguments: Any) -> None:
        """Run one event, then deliver the shared results that the controller's actions deferred."""
        super().run_guarded(method, *arguments)
        while self.actions.deferred_results:
            shared_result = self.actions.deferred_results.popleft()
            super().run_guarded(
                self.request_admission.deliver_shared_result, self._bound_controller(), shared_result
            )

    # -- events of clients

    def request_arrived(self, client: Client, request: IncomingRequest) -> None:
        """Admit or reject a request that was read from a client connection."""
        if self.controller is None:
            self.request_admission.reject_unready(client, request)
        else:
            self.request_admission.request_arrived(self.controller, client, request)

    def client_disconnected(self, client: Client) -> None:
        """Abandon the open requests of a client whose connection broke."""
        if self.controller is not None:  # without a controller, no request was admitted
            self.request_admission.client_disconnected(self.controller, client)

    # -- events of the worker pool and the records service

    def worker_pool_bound(self, link: int, cold: bool, started_ms_ago: float) -> None:
        """Use a new link.

        `cold`: the worker pool is still warming up; it started `started_ms_ago`.
        """
        self.state.commands.link_bound(link)
        if self.controller is None:
            if self.shutdown.schedule.started():
                return  # a new controller would report the server as ready; earlier requests were rejected
            self._start_controller(cold, started_ms_ago)
        self.state.commands.poll()  # notices that arrive before its answer are replayed ones

    def worker_pool_lost(self) -> None:
        """Queue commands until another link is bound."""
        self.state.commands.link_lost()

    def poll_answered(self, reference: str, gauges: list[float]) -> None:
        """Update the gauges, and mark all commands sent before the poll as received by the worker pool."""
        number = self.state.commands.poll_number(reference)
        if number is not None:
            self.gauges.update(gauges, self._bound_controller().workload.running)
            for command in self.state.commands.poll_answered(number):
                self.run_events.command_unconfirmed(self._bound_controller(), command)

    def run_blocked(self, request_id: str, notice: int, body: bytes | None) -> None:
        """Handle the notice that a run waits for a dependency call; `body` is None if it can't be read."""
        self.run_events.run_blocked(self._bound_controller(), request_id, notice, body)

    def run_ended(self, request_id: str, outcome: Outcome, duration_ms: float, content: str) -> None:
        """Handle the end of a run; `content` is its result in base64."""
        self.run_events.run_ended(self._bound_controller(), request_id, outcome, duration_ms, content)

    def command_unknown(self, command: str, request_id: str) -> None:
        """Handle the worker pool's report that it did not carry out a command."""
        self.run_events.command_unknown(self._bound_controller(), command, request_id)

    def call_ended(self, number: int, outcome: Outcome, reply: bytes) -> None:
        """Handle the outcome of a call to the records service."""
        self.run_events.call_ended(self._bound_controller(), number, outcome, reply)

    def call_timed_out(self, number: int) -> None:
        """Handle the deadline of a call; calls that ended earlier are ignored."""
        self.run_events.call_timed_out(self._bound_controller(), number)

    def _start_controller(self, cold: bool, started_ms_ago: float) -> None:
        self.clock.start(started_ms_ago)
        bulkheads = self.make_bulkheads() if self.make_bulkheads else None
        self.controller = factory.build(self.actions, self.seed, self.settings, cold, bulkheads)
        self.actions.controller = self.controller
        log.info("pool_bound", cold=cold, started_ms_ago=round(started_ms_ago))
        self.timers.schedule(unix_time_ms() + SUMMARY_INTERVAL_MS, self.log_summary)

    def _bound_controller(self) -> AdmissionController:
        """Return the controller; only for events that occur after the worker pool was bound."""
        assert self.controller is not None
        return self.controller

    # -- ticks

    def tick(self) -> None:
        """Run the controller's tick, then the checks that must run even if the controller raises."""
        controller = self._bound_controller()
        on_cores = self.gauges.on_cores(controller.workload.running)
        # The callbacks run in reverse order, even if `on_tick` or another callback raises.
        with contextlib.ExitStack() as after_tick:
            after_tick.callback(self.shutdown.advance_if_closing)
            after_tick.callback(self._close_idle_connections)
            after_tick.callback(self._fail_overdue, self.clock.now_ms() - OVERDUE_MARGIN_MS)
            controller.on_tick(self.clock.now_ms(), self.gauges.core_use(), on_cores)

    def _fail_overdue(self, before_ms: float) -> None:
        self.state.answers.fail_overdue(before_ms, self._bound_controller().health.latest_deadline_ms)

    def _close_idle_connections(self) -> None:
        if self.actions.idle_timeout_ms < math.inf:
            self.listener.close_idle(self.actions.idle_timeout_ms)

    # -- shutdown

    def shutdown_requested(self, signalled_at_unix_ms: float, stop_ms: float, grace_ms: float) -> None:
        """Start a graceful shutdown; its times count from the signal, even if this event is handled late."""
        answers_due_unix_ms = self.shutdown.start(signalled_at_unix_ms, stop_ms, grace_ms)
        if self.controller is None:  # no ticks and no runs: requests that were read are rejected
            self.registry.post(self.registry.set_readiness, False)
            self.shutdown.advance_repeatedly()
            return
        origin_unix_ms = self.clock.origin_unix_ms
        self.controller.start_draining(
            signalled_at_unix_ms - origin_unix_ms, answers_due_unix_ms - origin_unix_ms
        )

    # -- load reports and the summary

    def sample_load(self, report: Callable[[dict[str, float]], None]) -> None:
        """Call `report` with the metrics for the other servers of the fleet; see `LoadSampler.metrics`."""
        controller = self.controller
        if controller is None or self.load_sampler is None:
            return
        dependency = controller.workload.dependency
        in_flight = controller.workload.in_flight
        usual_duration_ms = dependency.base_time_ms.value if dependency is not None else 0.0
        metrics = self.load_sampler.metrics(
            self.clock.now_ms(),
            self.state.calls.start_times(),
            usual_duration_ms,
            self.metrics.snapshot(),
            in_flight.used_bytes,
            in_flight.memory_bytes,
        )
        report(metrics)

    def fleet_signals_changed(self, signals: FleetSignals) -> None:
        """Pass the load signals of the fleet to the controller."""
        if self.controller is not None:
            self.controller.apply_fleet_signals(
                signals.call_slowdown, signals.call_capacity, signals.is_full, signals.retry_after_factor
            )

    def log_summary(self) -> None:
        """Log all counters now, and again every `SUMMARY_INTERVAL_MS`."""
        self.metrics.log_summary(
            open=self.state.answers.count_unanswered(),
            connections=len(self.listener.connections),
            known=len(self.state.requests),
        )
        self.timers.schedule(unix_time_ms() + SUMMARY_INTERVAL_MS, self.log_summary)
