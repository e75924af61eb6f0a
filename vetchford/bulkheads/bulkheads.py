"""All bulkheads of one server. No I/O; the caller gives times, in milliseconds.

Three resources are divided by the bulkheads' shares:

  `SlotSharing`  The bulkhead that has used the least slot time for its share starts a run next. Other
                 bulkheads use the slots that a bulkhead leaves idle; when it has requests again, it is next.
                 Each bulkhead may also have reserved slots.
  `ByteSharing`  A bulkhead may always use its share, and beyond its share what others leave.
  `CallSharing`  Like slots; each bulkhead also has its own limit, which follows the answers to its calls.

`BulkheadSet` passes events to the three, and decides what involves more than one of them.
"""

import math
from collections.abc import Iterable, Sequence

from vetchford.admission.concurrency_limits import DependencyConcurrencyLimit, GradientConcurrencyLimit
from vetchford.admission.request import Request, RequestClass
from vetchford.bulkheads.byte_sharing import ByteSharing
from vetchford.bulkheads.call_sharing import CallSharing
from vetchford.bulkheads.classification import regroup
from vetchford.bulkheads.settings import BulkheadObserver, BulkheadSettings
from vetchford.bulkheads.slot_sharing import SlotSharing

REGROUP_INTERVAL_MS = 5000.0


class BulkheadSet:
    """The bulkheads and the resources that they use; the controller reports events and asks for decisions.

    Used only on the thread that owns the controller.
    """

    def __init__(
        self,
        observer: BulkheadObserver,
        settings: Sequence[BulkheadSettings],
        bulkhead_of_class: Sequence[int],
        derive: bool = False,
    ) -> None:
        """Start without requests.

        Args:
            observer: Notified when a limit applies or changes.
            settings: Settings of each bulkhead, by bulkhead index.
            bulkhead_of_class: The bulkhead of each request class, by class index.
            derive: Whether classes move between bulkheads according to their measured run times.
        """
        self.observer = observer
        self.settings = list(settings)
        self.derive = derive
        self.bulkhead_of_class = list(bulkhead_of_class)
        self.slots = SlotSharing(observer, self.settings)
        self.bytes = ByteSharing(observer, self.settings)
        self.calls = CallSharing(observer, self.settings)
        self.regrouped_at_ms = 0.0
        self.classes: Sequence[RequestClass] = ()

    def attach(self, classes: Sequence[RequestClass], dependency: DependencyConcurrencyLimit | None) -> None:
        """Assign the classes; the bulkheads' limits replace the server's own gradient limit on calls."""
        self.classes = classes
        self._assign_classes()
        if dependency is not None:
            dependency.gradient = UnlimitedConcurrency()
            self.calls.cap_limits(dependency.share)

    # -- events

    def run_started(self, now_ms: float, bulkhead: int, slots: float, extra_bytes: float) -> None:
        """Count a run that started: its slot, and the `extra_bytes` that it uses besides its request."""
        self.bytes.run_started(bulkhead, extra_bytes)
        self.slots.run_started(now_ms, bulkhead, slots)

    def run_ended(self, bulkhead: int, called: bool, extra_bytes: float) -> None:
        """Count a run that ended, whose `extra_bytes` are free; `called`: whether it waited for a call."""
        self.bytes.run_ended(bulkhead, extra_bytes)
        self.calls.run_ended(bulkhead, called)

    def on_tick(self, now_ms: float) -> None:
        """Regroup the classes of derived bulkheads if it is time; requests keep their bulkhead."""
        if not self.derive or now_ms - self.regrouped_at_ms < REGROUP_INTERVAL_MS:
            return
        self.regrouped_at_ms = now_ms
        bulkhead_of_class = regroup(self.classes, self.bulkhead_of_class)
        if bulkhead_of_class != self.bulkhead_of_class:
            self.bulkhead_of_class = bulkhead_of_class
            self._assign_classes()
            self.observer.regrouped(bulkhead_of_class)

    def _assign_classes(self) -> None:
        for request_class, bulkhead in zip(self.classes, self.bulkhead_of_class, strict=True):
            request_class.bulkhead = bulkhead

    # -- rules

    def startable(
        self,
        now_ms: float,
        queued: Iterable[Request],
        waiting: Iterable[Request],
        running: int,
        slots: float,
        max_running: float,
        blocked: set[int],
    ) -> list[Request]:
        """Return the queued requests of the bulkhead that starts a run next; empty if no bulkhead may.

        Args:
            now_ms: Time of the decision.
            queued: Requests that wait for a slot.
            waiting: Runs that wait for a dependency call.
            running: Runs on the cores, including those on reserved slots.
            slots: Number of shared slots.
            max_running: Highest number of runs, including those on reserved slots.
            blocked: Bulkheads to be left out.
        """
        candidates = self.calls.choose_startable(queued, waiting, blocked)
        bulkhead = self.slots.next_to_start(now_ms, candidates, running, slots, max_running)
        return [] if bulkhead is None else candidates[bulkhead]

    def queue_delay_ms(
        self,
        now_ms: float,
        bulkhead: int,
        work_ms: float,
        queued_runs: int,
        slots: float,
        active: Iterable[int],
        queued_calls: int,
    ) -> float:
        """Return how long a request waits behind others of its bulkhead, for slots or calls if longer.

        Args:
            now_ms: Time of the estimate.
            bulkhead: Bulkhead of the request.
            work_ms: Total run time of the requests before it.
            queued_runs: Number of requests before it.
            slots: Number of shared slots.
            active: Bulkheads that have queued requests.
            queued_calls: Runs of the bulkhead that wait for a call.
        """
        running_ms = work_ms / self.slots.available_slots(bulkhead, slots, active)
        return max(running_ms, self.calls.queue_delay_ms(now_ms, bulkhead, queued_runs, queued_calls))


class UnlimitedConcurrency(GradientConcurrencyLimit):
    """Replaces the server's gradient limit on calls, because the bulkheads' limits apply instead."""

    def __init__(self) -> None:
        """Create a limit that never applies."""
        super().__init__(math.inf, math.inf)

    def observe(self, base_ms: float, measured_ms: float) -> None:
        """Ignore the call: the bulkheads' limits count calls themselves."""

    def step(self, now_ms: float, ceiling: float, may_cut: bool, may_grow: bool) -> None:
        """Leave the limit as it is."""
