"""All bulkheads of one server. No I/O; times in ms, given by the caller.

Three resources are divided, each by the bulkheads' shares of it:

  `SlotSharing`  The bulkhead that has used the least time for its share starts next; what one leaves idle
                 others use, and it is next when it returns. On top, each may have a reserve.
  `ByteSharing`  A bulkhead is always admitted up to its share, beyond it only into what others leave.
  `CallSharing`  As the slots, and each bulkhead has a limit of its own that follows what is answered.

`BulkheadSet` distributes events to the three, and answers what concerns more than one of them.
"""

import math
from collections.abc import Iterable, Sequence

from vetchford.admission.concurrency_limits import DependencyConcurrencyLimit, GradientConcurrencyLimit
from vetchford.admission.request import Request, RequestClass
from vetchford.bulkheads.byte_sharing import ByteSharing
from vetchford.bulkheads.call_sharing import CallSharing
from vetchford.bulkheads.classification import regrouped
from vetchford.bulkheads.settings import BulkheadObserver, BulkheadSettings
from vetchford.bulkheads.slot_sharing import SlotSharing

REGROUP_INTERVAL_MS = 5000.0


class BulkheadSet:
    """The bulkheads and what they use. The controller reports events to it and asks before it acts.

    Not thread-safe: for the thread that owns the controller.
    """

    def __init__(
        self,
        observer: BulkheadObserver,
        settings: Sequence[BulkheadSettings],
        bulkhead_of_class: Sequence[int],
        derive: bool = False,
    ) -> None:
        """Begin with no request.

        Args:
            observer: Notified when a limit acts.
            settings: Of each bulkhead; their index is the bulkhead's.
            bulkhead_of_class: The bulkhead of each request class, by class index.
            derive: Whether classes move between bulkheads by what their runs turn out to be.
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
        """Assign the classes; the server's own gradient on calls is replaced by the bulkheads' limits."""
        self.classes = classes
        self._assign_classes()
        if dependency is not None:
            dependency.gradient = UnlimitedConcurrency()
            self.calls.cap_limits(dependency.share)

    # -- events

    def run_started(self, now_ms: float, bulkhead: int, slots: float, extra_bytes: float) -> None:
        """A run took a slot, or a reserved one; it uses so many bytes on top of its request."""
        self.bytes.run_started(bulkhead, extra_bytes)
        self.slots.run_started(now_ms, bulkhead, slots)

    def run_ended(self, bulkhead: int, called: bool, extra_bytes: float) -> None:
        """A run is over: its memory is free; `called`: it had asked for a call."""
        self.bytes.run_ended(bulkhead, extra_bytes)
        self.calls.run_ended(bulkhead, called)

    def on_tick(self, now_ms: float) -> None:
        """Move the classes of derived bulkheads where that is due; requests stay where they are."""
        if not self.derive or now_ms - self.regrouped_at_ms < REGROUP_INTERVAL_MS:
            return
        self.regrouped_at_ms = now_ms
        bulkhead_of_class = regrouped(self.classes, self.bulkhead_of_class)
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
        """The queued requests of the bulkhead that is to start one now; none where no bulkhead may.

        Args:
            now_ms: Time of the decision.
            queued: Requests that wait for a slot.
            waiting: Runs that wait for a dependency call.
            running: Runs on the cores, reserves included.
            slots: The server's own limit on them, without reserves.
            max_running: How many the server survives, reserves included.
            blocked: Bulkheads to be passed over.
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
        """How long until a request behind others of its bulkhead runs: the longer of their slots and calls.

        Args:
            now_ms: Time of the question.
            bulkhead: Of the request.
            work_ms: Run time of all those before it.
            queued_runs: Their number.
            slots: The server's own limit.
            active: Bulkheads that have requests in the queue.
            queued_calls: Runs of the bulkhead that wait for a call.
        """
        running_ms = work_ms / self.slots.available_slots(bulkhead, slots, active)
        return max(running_ms, self.calls.queue_delay_ms(now_ms, bulkhead, queued_runs, queued_calls))


class UnlimitedConcurrency(GradientConcurrencyLimit):
    """Replaces the server's own gradient on calls: the limits of the bulkheads apply instead."""

    def __init__(self) -> None:
        """Create a limit that never binds."""
        super().__init__(math.inf, math.inf)

    def observe(self, base: float, measured: float) -> None:
        """Ignored: the limits of the bulkheads observe calls themselves."""

    def step(self, now_ms: float, ceiling: float, may_cut: bool, may_grow: bool) -> None:
        """Never moves."""
