"""Recorder of the controller's actions, and controllers and requests with default values.

The fake clients and services are those of the benchmarks.
"""

from pathlib import Path

import vetchford
from testkit.fakes.peers import SETTINGS, ScriptedClient
from testkit.fakes.server_process import ServerOptions, ServerProcess
from vetchford.admission.concurrency_limits import DependencyConcurrencyLimit
from vetchford.admission.controller import AdmissionController
from vetchford.admission.in_flight_bytes import InFlightBytes
from vetchford.admission.rejection import RejectionReason
from vetchford.admission.request import AdmissionSettings, AdviceSettings, RequestArrival, RequestClass
from vetchford.admission.settings import Effect, LoadSignal
from vetchford.admission.shared_capacity import SharedCapacity
from vetchford.admission.tenant_quotas import TenantQuotas
from vetchford.admission.workload import Workload
from vetchford.bulkheads.bulkhead_capacity import BulkheadCapacity

__all__ = [
    "ROOT",
    "SETTINGS",
    "ScriptedClient",
    "Recorder",
    "ServerOptions",
    "ServerProcess",
    "VALID_CONFIGURATION",
    "new_controller",
    "request_class",
    "send",
]

ROOT = Path(vetchford.__file__).parent.parent
VALID_CONFIGURATION = {
    "name": "n1",
    "listen": "127.0.0.1:0",
    "pool": "127.0.0.1:1",
    "records": "127.0.0.1:1",
    "members": "127.0.0.1:1",
    "seed": "8c1f30d27a5be964",
    "stop_ms": 3200,
    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 128},
    "settings": SETTINGS,
}


class Recorder:
    """Records each action of a controller as (name, *arguments), and answers and reasons by request index."""

    def __init__(self):
        self.acts = []
        self.now = 0.0
        self.timers = []
        self.answers = {}
        self.reasons = {}

    def reject(self, index, terminal, retry_after_ms, reason):
        assert isinstance(reason, RejectionReason)
        assert index not in self.answers, "a second final answer"
        self.reasons[index] = reason
        self.answers[index] = "reject"
        self.acts.append(("reject", index, terminal, retry_after_ms))

    def __getattr__(self, name):
        if name.startswith("_"):
            raise AttributeError(name)

        def record(*arguments):
            self.acts.append((name, *arguments))
            if name == "fail":
                assert arguments[0] not in self.answers, "a second final answer"
                self.answers[arguments[0]] = name
            if name == "schedule_tick":
                self.timers.append(self.now + arguments[0])

        return record

    def names(self, index):
        return [
            act[0] for act in self.acts if act[1:2] == (index,) and act[0] not in ("release", "set_readiness")
        ]


def request_class(**values):
    """Return a request class with default values; times in milliseconds."""
    defaults = dict(
        latency_objective_ms=1800.0,
        timeout_ms=4400.0,
        priority_weight=1.0,
        late_fraction=0.0,
        effect=Effect.IDEMPOTENT,
        key_window_ms=13000.0,
        skip_fraction=0.0,
    )
    return RequestClass(**{**defaults, **values})


def new_controller(
    actions,
    classes=None,
    cores=2,
    cold=False,
    memory=100_000.0,
    share=None,
    quotas=(),
    signal=LoadSignal.NONE,
    can_stop=False,
    clients=2,
    bulkheads=None,
):
    """Return a controller with default values; `bulkheads` is a `BulkheadSet` to divide the capacity."""
    workload = Workload(
        settings=AdmissionSettings(
            cores=cores,
            survivable_concurrency=8.0,
            cold_fraction=0.24,
            warm_up_ms=18000.0 if cold else 0.0,
            weight_by_work=False,
            can_stop=can_stop,
            drain_grace_ms=2000.0,
            worst_class_weight=0.3,
        ),
        classes=classes
        or [request_class(), request_class(priority_weight=3.0, effect=Effect.IDEMPOTENT_BY_KEY)],
        in_flight=InFlightBytes(memory, 8.0, 50.0),
        dependency=DependencyConcurrencyLimit(share, 5000.0, 200.0, cores),
        tenants=TenantQuotas(list(quotas), 1, 0.05),
    )
    advice = AdviceSettings(7, signal, 1000.0, clients, cores, 30_000.0)
    capacity = SharedCapacity() if bulkheads is None else BulkheadCapacity(bulkheads)
    return AdmissionController(actions, workload, capacity, advice)


def send(
    server,
    now,
    index,
    class_index=0,
    client=0,
    tenant=-1,
    deadline=None,
    work=None,
    size=10,
    is_retry=False,
    queued_for=0.0,
    original=None,
):
    """Deliver a request of the class `class_index` to the controller `server`."""
    arrival = RequestArrival(
        index, class_index, tenant, client, deadline, work, size, is_retry, queued_for, original
    )
    server.request_arrived(now, arrival)
