"""Start, signals and end of one server."""

import gc
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING, Any

import structlog

from vetchford.errors import VetchfordError
from vetchford.protocol.platform_configuration import (
    RECORDS_KEY,
    REGISTRY_KEY,
    WORKER_POOL_KEY,
    Address,
    OwnSettings,
    ServerConfiguration,
)
from vetchford.runtime.metrics import Metrics
from vetchford.runtime.thread_pool import start_thread
from vetchford.runtime.timers import unix_time_ms
from vetchford.runtime.units import MS_PER_S
from vetchford.server import signals
from vetchford.server.admission_actor import AdmissionActor
from vetchford.server.listener import Listener
from vetchford.server.records_client import RecordsClient
from vetchford.server.registry_reporter import RegistryReporter
from vetchford.server.reload import ConfigurationReloader, reload_configuration
from vetchford.server.worker_pool import WorkerPoolClient

if TYPE_CHECKING:
    from vetchford.coordination.fleet_member import FleetMember

log = structlog.get_logger()

EXIT_DONE = 0
EXIT_FAILED = 1  # at run time
STACK_SIZE = 256 * 1024  # bytes a thread; no call here nests deeply, and untouched pages cost nothing
OTHER_DESCRIPTORS = 8  # listener, poller, the worker pool's link, registry reports and the standard three
FLEET_DESCRIPTORS = 4  # datagrams, a listener that accepts nobody, a connection to it, one spare
MIN_CALL_DESCRIPTORS = 8
MAX_CALL_DESCRIPTORS = 56  # three times the calls that a server of twelve cores may have in flight
CALL_DESCRIPTORS_SHARE = 4  # one descriptor in so many is for calls, before the others are taken off
PROCESS_EXIT_TIME_S = 0.02  # from the last line of the log; half of shutdown.EXIT_BEFORE_KILL_MS


class CannotListenError(VetchfordError):
    """An address to listen on is taken, or is none of this machine."""

    def __init__(self, address: str, reason: str | None) -> None:
        """Take the address in the form of the configuration, and the system's reason."""
        super().__init__(f"cannot listen on {address}: {reason}")
        self.address = address
        self.reason = reason


@dataclass(frozen=True)
class DescriptorBudget:
    """How the file descriptors of one server are shared out."""

    calls: int
    clients: int

    @classmethod
    def share(cls, total: int, in_fleet: bool) -> "DescriptorBudget":
        """Share `total` descriptors between dependency calls and client connections."""
        calls = max(MIN_CALL_DESCRIPTORS, total // CALL_DESCRIPTORS_SHARE - OTHER_DESCRIPTORS)
        calls = min(MAX_CALL_DESCRIPTORS, calls)
        reserved = OTHER_DESCRIPTORS + (FLEET_DESCRIPTORS if in_fleet else 0)
        return cls(calls, total - calls - reserved)


class Server:
    """The actors of one server, which it starts. They end with the process."""

    def __init__(self, configuration: ServerConfiguration, metrics: Metrics) -> None:
        """Create the actors and listen; CannotListenError where that fails."""
        self.configuration = configuration
        self.settings = configuration.settings
        self.admission = AdmissionActor(
            configuration.seed,
            self.settings,
            metrics,
            bulkheads_maker(configuration, metrics),
        )
        self.stopped = threading.Event()  # set once a graceful shutdown has ended
        in_fleet = configuration.own.fleet is not None
        budget = DescriptorBudget.share(configuration.max_descriptors, in_fleet)
        self.worker_pool = WorkerPoolClient(configuration.worker_pool, self.admission, metrics)
        self.records = RecordsClient(configuration.records, budget.calls, self.admission, metrics)
        self.registry = RegistryReporter(configuration.registry, configuration.name, metrics)
        self.fleet_member = self._join_fleet(metrics)
        self.listener = self._listen(budget.clients, metrics)
        self.admission.attach(self.worker_pool, self.records, self.registry, self.listener, self.stopped.set)

    def start(self) -> None:
        """Start all actors; the listener accepts from now on."""
        self.admission.start()
        self.registry.start()
        self.worker_pool.start()
        self.records.start()
        self.listener.start()
        if self.fleet_member is not None:
            self.fleet_member.start()

    def reload(
        self, current: ServerConfiguration, read: Callable[[], ServerConfiguration]
    ) -> ServerConfiguration:
        """Apply the configuration as `read` returns it now; return what holds from now on."""
        move_peer: dict[str, Callable[[Address | None], None]] = {
            WORKER_POOL_KEY: partial(self.worker_pool.post, self.worker_pool.change_address),
            RECORDS_KEY: self.records.change_address,
            REGISTRY_KEY: partial(self.registry.post, self.registry.change_address),
        }
        return reload_configuration(current, read, move_peer, self._change_own_settings)

    def start_shutdown(self, signalled_at_unix_ms: float, stop_ms: float) -> None:
        """Start a graceful shutdown; the process is killed `stop_ms` after the signal."""
        if self.fleet_member is not None:
            self.fleet_member.post(self.fleet_member.leave)
        self.admission.post(
            self.admission.shutdown_requested, signalled_at_unix_ms, stop_ms, self.settings.drain_grace_ms
        )

    def _join_fleet(self, metrics: Metrics) -> "FleetMember | None":
        """Create the actor that speaks to the other servers; None where none are configured."""
        settings = self.configuration.own.fleet
        if settings is None:
            return None
        from vetchford.coordination import fleet_member  # a server alone does without it

        admission = self.admission
        admission.load_sampler = fleet_member.measure()
        try:
            return fleet_member.FleetMember(
                settings,
                self.configuration.seed,
                metrics,
                partial(admission.post, admission.sample_load),
                partial(admission.post, admission.fleet_signals_changed),
            )
        except OSError as problem:
            raise CannotListenError(settings["listen"], problem.strerror) from problem

    def _listen(self, max_connections: int, metrics: Metrics) -> Listener:
        try:
            return Listener(
                self.configuration.listen,
                max_connections,
                self.settings.class_indices(),
                self.settings.tenant_indices(),
                self.admission,
                metrics,
            )
        except OSError as problem:
            raise CannotListenError(str(self.configuration.listen), problem.strerror) from problem

    def _change_own_settings(self, own: OwnSettings) -> None:
        if self.fleet_member is not None and own.fleet:
            self.fleet_member.post(self.fleet_member.allow, own.fleet)


def serve(
    configuration: ServerConfiguration,
    read: Callable[[], ServerConfiguration],
    log_ends_by: Callable[[float], None],
) -> int:
    """Run one server until a termination signal has come and all is answered; return the exit status.

    `read` returns the configuration anew. `log_ends_by` is called with the Unix time in seconds until which
    the log may hold up the end. Called on the main thread, with signals blocked.
    """
    threading.stack_size(STACK_SIZE)
    metrics = Metrics()
    try:
        server = Server(configuration, metrics)
    except CannotListenError as problem:
        log.error("listen_failed", address=problem.address, problem=problem.reason)
        return EXIT_FAILED
    gc.collect()
    gc.freeze()
    server.start()
    listening_on = ":".join(map(str, server.listener.sock.getsockname()))
    log.info("serving", name=configuration.name, listen=listening_on)
    reloader = ConfigurationReloader(
        configuration,
        lambda current: server.reload(current, read),
        lambda run: start_thread(run, "configuration-reload", metrics),
    )
    number = signals.wait_for_termination(reloader.request)
    signalled_at_unix_ms = unix_time_ms()
    log.info("signal_received", number=number)
    return _shut_down(server, signalled_at_unix_ms, reloader, log_ends_by, metrics)


def _shut_down(
    server: Server,
    signalled_at_unix_ms: float,
    reloader: ConfigurationReloader,
    log_ends_by: Callable[[float], None],
    metrics: Metrics,
) -> int:
    """Shut down gracefully; return the exit status at the latest when the process is about to be killed."""
    stop_ms = reloader.configuration.stop_ms
    kill_at_unix_s = (signalled_at_unix_ms + stop_ms) / MS_PER_S
    log_ends_by(kill_at_unix_s - PROCESS_EXIT_TIME_S)
    server.start_shutdown(signalled_at_unix_ms, stop_ms)
    handle_further_signals(reloader, metrics)
    if not server.stopped.wait(max(0.0, kill_at_unix_s - time.time())):
        # The thread of the admission actor is stuck; a kill is next.
        log.error("shutdown_timed_out", stop_ms=stop_ms)
        return EXIT_FAILED
    log.info("stopped")
    return EXIT_DONE


def handle_further_signals(reloader: ConfigurationReloader, metrics: Metrics) -> None:
    """Reload on SIGHUP during the shutdown too: peers may still move."""
    run = partial(signals.handle_reloads, reloader.request)
    try:
        threading.Thread(target=run, name="signals", daemon=True).start()
    except RuntimeError as problem:  # the shutdown goes before what may still move
        metrics.log_sampled("no_thread", part="signals", problem=str(problem))


def bulkheads_maker(configuration: ServerConfiguration, metrics: Metrics) -> Callable[[], Any] | None:
    """Return what makes the bulkheads that our own files declare; None where there are none."""
    declared = configuration.own.bulkheads
    if declared is None:
        return None
    from vetchford.bulkheads import bulkhead_metrics  # a server without bulkheads does without it

    request_classes = configuration.settings.request_classes
    return partial(bulkhead_metrics.capacity, request_classes, declared, metrics)
