"""What the admission actor keeps, in parts of one job each."""

from dataclasses import dataclass

from vetchford.runtime.metrics import Metrics
from vetchford.runtime.timers import Timers
from vetchford.server.calls_in_flight import CallsInFlight
from vetchford.server.idempotency_cache import IdempotencyCache
from vetchford.server.request_answers import RequestAnswers
from vetchford.server.request_table import RequestTable
from vetchford.server.server_clock import ServerClock
from vetchford.server.worker_pool_commands import WorkerPoolCommands


@dataclass(eq=False, slots=True)
class ServerState:
    """The parts; only the thread of the admission actor uses them, metrics apart."""

    metrics: Metrics
    clock: ServerClock  # that decisions are made by
    timers: Timers
    requests: RequestTable
    answers: RequestAnswers
    idempotency_cache: IdempotencyCache
    commands: WorkerPoolCommands
    calls: CallsInFlight
