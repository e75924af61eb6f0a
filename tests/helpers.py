"""A recording host and a node built from few figures; the stand-ins are those of the benchmarks."""

from pathlib import Path

import vetchford
from testkit.fakes.peers import TOLD, Balancer
from testkit.fakes.server_process import Running
from vetchford.admission import controller

__all__ = ["GOOD", "ROOT", "TOLD", "Balancer", "Recorder", "Running", "node", "send", "stage"]

ROOT = Path(vetchford.__file__).parent.parent
GOOD = {
    "name": "n1",
    "listen": "127.0.0.1:0",
    "pool": "127.0.0.1:1",
    "records": "127.0.0.1:1",
    "members": "127.0.0.1:1",
    "seed": "8c1f30d27a5be964",
    "stop_ms": 3200,
    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 128},
    "settings": TOLD,
}


class Recorder:
    """A host that keeps each act as (name, *arguments) and the answers by task."""

    def __init__(self):
        self.acts = []
        self.now = 0.0
        self.timers = []
        self.answers = {}

    def __getattr__(self, name):
        if name.startswith("_"):
            raise AttributeError(name)

        def act(*given):
            self.acts.append((name, *given))
            if name in ("reject", "fail"):
                assert given[0] not in self.answers, "a second final answer"
                self.answers[given[0]] = name
            if name == "schedule_tick":
                self.timers.append(self.now + given[0])

        return act

    def names(self, q):
        return [
            act[0] for act in self.acts if act[1:2] == (q,) and act[0] not in ("release", "set_readiness")
        ]


def stage(**given):
    figures = dict(
        due=1800.0,
        limit=4400.0,
        utility=1.0,
        late_utility=0.0,
        effect=controller.RESTARTABLE,
        window=13000.0,
        skip_utility=0.0,
    )
    return controller.Stage(**{**figures, **given})


def node(
    host,
    stages=None,
    cores=2,
    cold=False,
    memory=100_000.0,
    share=None,
    calls=True,
    quotas=(),
    say="silent",
    can_stop=False,
    callers=2,
    pools=None,
):
    return controller.AdmissionController(
        host=host,
        stages=stages or [stage(), stage(utility=3.0, effect=controller.FINGERPRINTED)],
        cores=cores,
        survives=8.0,
        cold_from=0.24,
        ramp=18000.0 if cold else 0.0,
        counters=controller.InFlightBytes(memory, 8.0, 50.0),
        calls=controller.DependencyConcurrencyLimit(share, 5000.0, 200.0, cores) if calls else None,
        tenants=controller.TenantQuotas(list(quotas), 1, 0.05),
        advice=controller.LoadAdvice(host, 7, say, 1000.0, callers, cores, 30_000.0),
        by_work=False,
        can_stop=can_stop,
        grace=2000.0,
        worst_weight=0.3,
        pools=pools,
    )


def send(
    server,
    now,
    q,
    kind=0,
    caller=0,
    tenant=-1,
    limit_at=None,
    work=None,
    size=10,
    again=False,
    queued_for=0.0,
    original=None,
):
    server.request_arrived(now, q, kind, tenant, caller, limit_at, work, size, again, queued_for, original)
