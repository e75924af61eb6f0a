"""Starts one server, handles its signals and shuts it down."""

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
    DeclaredSettings,
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
STACK_SIZE_BYTES = 256 * 1024  # for each thread; calls don't nest deeply, and untouched pages use no memory
OTHER_DESCRIPTORS = 8  # listener, poller, worker pool link, registry reports and the three standard streams
FLEET_DESCRIPTORS = 4  # datagrams, a listener that accepts no connections, a connection to it, one spare
MIN_CALL_DESCRIPTORS = 8
MAX_CALL_DESCRIPTORS = 56  # three times the calls that a server with twelve cores may have in flight
CALL_DESCRIPTORS_DIVISOR = 4  # calls get a quarter of all descriptors, less OTHER_DESCRIPTORS
PROCESS_EXIT_TIME_S = 0.02  # from the last log line to the exit; half of shutdown.EXIT_BEFORE_KILL_MS


class CannotListenError(VetchfordError):
    """An address to listen on is in use, or is not an address of this machine."""

    def __init__(self, address: str, reason: str | None) -> None:
        """Create the error for an address as in the configuration; `reason` is the system's error text."""
        super().__init__(f"cannot listen on {address}: {reason}")
        self.address = address
        self.reason = reason


@dataclass(frozen=True)
class DescriptorBudget:
    """The division of a server's file descriptors between dependency calls and clients."""

    calls: int
    clients: int

    @classmethod
    def divide(cls, total: int, in_fleet: bool) -> "DescriptorBudget":
        """Divide `total` descriptors between dependency calls and client connections."""
        calls = max(MIN_CALL_DESCRIPTORS, total // CALL_DESCRIPTORS_DIVISOR - OTHER_DESCRIPTORS)
        calls = min(MAX_CALL_DESCRIPTORS, calls)
        reserved = OTHER_DESCRIPTORS + (FLEET_DESCRIPTORS if in_fleet else 0)
        return cls(calls, total - calls - reserved)


class Server:
    """Creates and starts the actors of one server, which run until the process exits."""

    def __init__(self, configuration: ServerConfiguration, metrics: Metrics) -> None:
        """Create the actors and listen.

        Raises:
            CannotListenError: An address to listen on is in use, or is not an address of this machine.
        """
        self.configuration = configuration
        self.settings = configuration.settings
        self.admission = AdmissionActor(
            configuration.seed,
            self.settings,
            metrics,
            bulkheads_factory(configuration, metrics),
        )
        self.stopped = threading.Event()  # set once a graceful shutdown has finished
        in_fleet = configuration.declared.fleet is not None
        budget = DescriptorBudget.divide(configuration.max_descriptors, in_fleet)
        self.worker_pool = WorkerPoolClient(configuration.worker_pool, self.admission, metrics)
        self.records = RecordsClient(configuration.records, budget.calls, self.admission, metrics)
        self.registry = RegistryReporter(configuration.registry, configuration.name, metrics)
        self.fleet_member = self._join_fleet(metrics)
        self.listener = self._listen(budget.clients, metrics)
        self.admission.attach(self.worker_pool, self.records, self.registry, self.listener, self.stopped.set)

    def start(self) -> None:
        """Start all actors; the listener then accepts connections."""
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
        """Apply the configuration that `read` returns; return the configuration in effect afterwards."""
        change_address: dict[str, Callable[[Address | None], None]] = {
            WORKER_POOL_KEY: partial(self.worker_pool.post, self.worker_pool.change_address),
            RECORDS_KEY: self.records.change_address,
            REGISTRY_KEY: partial(self.registry.post, self.registry.change_address),
        }
        return reload_configuration(current, read, change_address, self._change_declared_settings)

    def start_shutdown(self, signalled_at_unix_ms: float, stop_ms: float) -> None:
        """Start a graceful shutdown; the process is killed `stop_ms` after the signal."""
        if self.fleet_member is not None:
            self.fleet_member.post(self.fleet_member.release_leases_for_shutdown)
        self.admission.post(
            self.admission.shutdown_requested, signalled_at_unix_ms, stop_ms, self.settings.drain_grace_ms
        )

    def _join_fleet(self, metrics: Metrics) -> "FleetMember | None":
        """Create the actor that communicates with the other servers; None if no fleet is configured."""
        settings = self.configuration.declared.fleet
        if settings is None:
            return None
        from vetchford.coordination import fleet_member  # not imported by a server without a fleet

        admission = self.admission
        admission.load_sampler = fleet_member.make_load_sampler()
        try:
            return fleet_member.FleetMember(
                settings,
                self.configuration.seed,
                metrics,
                partial(admission.post, admission.sample_load),
                partial(admission.post, admission.fleet_signals_changed),
            )
        except OSError as error:
            raise CannotListenError(settings["listen"], error.strerror) from error

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
        except OSError as error:
            raise CannotListenError(str(self.configuration.listen), error.strerror) from error

    def _change_declared_settings(self, declared: DeclaredSettings) -> None:
        if self.fleet_member is not None and declared.fleet:
            self.fleet_member.post(self.fleet_member.apply_reloaded_settings, declared.fleet)


def serve(
    configuration: ServerConfiguration,
    read: Callable[[], ServerConfiguration],
    set_log_deadline: Callable[[float], None],
) -> int:
    """Run one server until a termination signal and the end of its shutdown; return the exit status.

    `read` reads the configuration again. `set_log_deadline` is called with the Unix time in seconds until
    which writing the log may delay the exit. Call this function on the main thread, with signals blocked.
    """
    threading.stack_size(STACK_SIZE_BYTES)
    metrics = Metrics()
    try:
        server = Server(configuration, metrics)
    except CannotListenError as error:
        log.error("listen_failed", address=error.address, problem=error.reason)
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
    signal_number = signals.wait_for_termination(reloader.request)
    signalled_at_unix_ms = unix_time_ms()
    log.info("signal_received", number=signal_number)
    return _shut_down(server, signalled_at_unix_ms, reloader, set_log_deadline, metrics)


def _shut_down(
    server: Server,
    signalled_at_unix_ms: float,
    reloader: ConfigurationReloader,
    set_log_deadline: Callable[[float], None],
    metrics: Metrics,
) -> int:
    """Shut down gracefully; return the exit status no later than when the process is to be killed."""
    stop_ms = reloader.configuration.stop_ms
    kill_at_unix_s = (signalled_at_unix_ms + stop_ms) / MS_PER_S
    set_log_deadline(kill_at_unix_s - PROCESS_EXIT_TIME_S)
    server.start_shutdown(signalled_at_unix_ms, stop_ms)
    handle_further_signals(reloader, metrics)
    if not server.stopped.wait(max(0.0, kill_at_unix_s - time.time())):
        # The admission actor's thread is stuck, and the process is about to be killed.
        log.error("shutdown_timed_out", stop_ms=stop_ms)
        return EXIT_FAILED
    log.info("stopped")
    return EXIT_DONE


def handle_further_signals(reloader: ConfigurationReloader, metrics: Metrics) -> None:
    """Reload on SIGHUP during the shutdown too, as service addresses may still change."""
    run = partial(signals.handle_reloads, reloader.request)
    try:
        threading.Thread(target=run, name="signals", daemon=True).start()
    except RuntimeError as error:  # the shutdown continues without reloads
        metrics.log_sampled("no_thread", part="signals", problem=str(error))


def bulkheads_factory(configuration: ServerConfiguration, metrics: Metrics) -> Callable[[], Any] | None:
    """Return a factory of the bulkheads that the settings files declare; None if they declare none."""
    declared = configuration.declared.bulkheads
    if declared is None:
        return None
    from vetchford.bulkheads import bulkhead_metrics  # not imported by a server without bulkheads

    request_classes = configuration.settings.request_classes
    return partial(bulkhead_metrics.capacity, request_classes, declared, metrics)
