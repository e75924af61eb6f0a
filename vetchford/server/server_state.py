"""The state that the classes of the admission actor share."""

from dataclasses import dataclass

from vetchford.runtime.metrics import Metrics
from vetchford.runtime.timers import Timers
from vetchford.server.calls_in_flight import CallsInFlight
from vetchford.server.idempotency_cache import IdempotencyCache
from vetchford.server.recent_request_ids import RecentRequestIds
from vetchford.server.request_answers import RequestAnswers
from vetchford.server.request_table import RequestTable
from vetchford.server.server_clock import ServerClock
from vetchford.server.worker_pool_commands import WorkerPoolCommands


@dataclass(eq=False, slots=True)
class ServerState:
    """The shared objects; all but `metrics` are used only on the admission actor's thread."""

    metrics: Metrics
    clock: ServerClock
    timers: Timers
    requests: RequestTable
    answers: RequestAnswers
    idempotency_cache: IdempotencyCache
    recent_request_ids: RecentRequestIds
    commands: WorkerPoolCommands
    calls: CallsInFlight
