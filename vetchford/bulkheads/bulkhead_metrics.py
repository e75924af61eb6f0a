"""What the pools' limits did, as counts on the summary line and as log events."""

from collections.abc import Sequence
from typing import Any

import structlog

from vetchford.admission import factory
from vetchford.bulkheads import builder
from vetchford.bulkheads.bulkhead_capacity import BulkheadCapacity
from vetchford.runtime.metrics import Metrics

log = structlog.get_logger()


class Marks:
    """The host of a `BulkheadSet`: counts by pool's name, of which there are 17 at most."""

    def __init__(self, metrics: Metrics, stages: Sequence[str]) -> None:
        self.metrics, self.stages, self.names = metrics, stages, []

    def borrowed(self, pool: int, what: str) -> None:
        self.metrics.increment(f"pool_{self.names[pool]}_borrowed_{what}")

    def returned(self, pool: int, what: str) -> None:
        self.metrics.increment(f"pool_{self.names[pool]}_returned_{what}")

    def reserve_used(self, pool: int) -> None:
        self.metrics.increment(f"pool_{self.names[pool]}_reserve_used")

    def bound(self, pool: int, what: str) -> None:
        self.metrics.increment(f"pool_{self.names[pool]}_bound_{what}")

    def limit_moved(self, pool: int, why: str, limit: float) -> None:
        count = self.metrics.increment(f"pool_{self.names[pool]}_calls_{why}")
        if count & (count - 1) == 0:  # the 1st, 2nd, 4th, 8th ..., as for all that a peer can provoke
            log.info("pool_limit_moved", pool=self.names[pool], why=why, limit=round(limit, 1), count=count)

    def regrouped(self, pools: Sequence[int]) -> None:
        moved = ",".join(f"{name}:{self.names[pool]}" for name, pool in zip(self.stages, pools, strict=True))
        log.info("pools_regrouped", stages=moved)


def pools(told: dict[str, Any], declared: str | dict[str, Any], metrics: Metrics) -> BulkheadCapacity | None:
    """The pools of a server that was told these settings."""
    stages = told["requestClasses"]
    names = [entry.get("name") or "" for entry in stages]
    marks = Marks(metrics, names)
    effects = [factory.EFFECTS[entry["effect"]] for entry in stages]
    made = builder.build(marks, declared, names, effects, [entry.get("worth") or 0.0 for entry in stages])
    if made is not None:
        marks.names = [terms.name for terms in made.terms]
        log.info("pools", names=",".join(marks.names), stages=",".join(marks.names[p] for p in made.pool_of))
    return BulkheadCapacity(made) if made is not None else None
