"""Counters on the summary line and log events for the bulkheads' limits.

Operators rely on the names of the counters and events.
"""

from collections.abc import Mapping, Sequence
from typing import Any

import structlog

from vetchford.admission.settings import RequestClassSettings
from vetchford.bulkheads import builder
from vetchford.bulkheads.adaptive_limit import LimitChange
from vetchford.bulkheads.bulkhead_capacity import BulkheadCapacity
from vetchford.bulkheads.settings import Resource
from vetchford.runtime.metrics import Metrics

log = structlog.get_logger()


class BulkheadMetrics:
    """Observes a `BulkheadSet` and counts by bulkhead name, of which there are at most 17.

    Used only on the thread that owns the controller.
    """

    def __init__(self, metrics: Metrics, class_names: Sequence[str]) -> None:
        """Use `class_names`, by class index; set `names`, by bulkhead index, before the first event."""
        self.metrics = metrics
        self.class_names = class_names
        self.names: list[str] = []

    def _increment(self, bulkhead: int, event: str) -> int:
        return self.metrics.increment(f"pool_{self.names[bulkhead]}_{event}")

    def borrowed(self, bulkhead: int, resource: Resource) -> None:
        """Count the event as `borrowed_...`."""
        self._increment(bulkhead, f"borrowed_{resource}")

    def returned(self, bulkhead: int, resource: Resource) -> None:
        """Count the event as `returned_...`."""
        self._increment(bulkhead, f"returned_{resource}")

    def reserve_used(self, bulkhead: int) -> None:
        """Count the event as `reserve_used`."""
        self._increment(bulkhead, "reserve_used")

    def limit_reached(self, bulkhead: int, resource: Resource) -> None:
        """Count the event as `bound_...`."""
        self._increment(bulkhead, f"bound_{resource}")

    def call_limit_changed(self, bulkhead: int, reason: LimitChange, limit: float) -> None:
        """Count the change as `calls_...`.

        It is logged the 1st, 2nd, 4th ... time, like all events that a peer can provoke.
        """
        count = self._increment(bulkhead, f"calls_{reason.value}")
        if count & (count - 1) == 0:
            log.info(
                "pool_limit_moved",
                pool=self.names[bulkhead],
                why=reason.value,
                limit=round(limit, 1),
                count=count,
            )

    def regrouped(self, bulkhead_of_class: Sequence[int]) -> None:
        """Log the new bulkhead of each class."""
        pairs = zip(self.class_names, bulkhead_of_class, strict=True)
        log.info(
            "pools_regrouped", stages=",".join(f"{name}:{self.names[bulkhead]}" for name, bulkhead in pairs)
        )


def capacity(
    classes: Sequence[RequestClassSettings], declared: str | Mapping[str, Any], metrics: Metrics
) -> BulkheadCapacity | None:
    """Return the capacity divided into the declared bulkheads; None if there are no bulkheads."""
    names = [each.name for each in classes]
    observer = BulkheadMetrics(metrics, names)
    effects = [each.effect for each in classes]
    weights = [each.priority_weight for each in classes]
    bulkheads = builder.build(observer, declared, names, effects, weights)
    if bulkheads is None:
        return None
    observer.names = [each.name for each in bulkheads.settings]
    by_class = ",".join(observer.names[bulkhead] for bulkhead in bulkheads.bulkhead_of_class)
    log.info("pools", names=",".join(observer.names), stages=by_class)
    return BulkheadCapacity(bulkheads)
