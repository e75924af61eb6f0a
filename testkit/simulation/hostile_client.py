"""A controller in virtual time between well-behaved clients and one hostile client.

The hostile client draws every field and moment of its requests: figures, names, arrival times, when it
leaves, and how its runs end. Runs on the cores share them.
"""

import heapq
import random
from collections.abc import Callable
from typing import Any

from vetchford.admission.controller import AdmissionController
from vetchford.admission.request import Outcome, RequestArrival

RUN_MS = 40.0
CORES = 2
SOUND_INTERVAL_MS = 60.0
"""A third of what the cores can run."""
SOUND_CLIENTS = 4
TICK_MS = 50.0
HOSTILE_CLIENT = 99
MIN_HOSTILE_INTERVAL_MS = 3.0
SIZE_BYTES = 10_000
LONGEST_HOSTILE_RUN_MS = 2000.0


class HostileSimulation:
    """Delivers events to a controller; it is the controller's `AdmissionActions` too."""

    def __init__(self, seed: int, make_controller: Callable[[Any], AdmissionController]) -> None:
        """Create a controller with `make_controller`, which is given the actions."""
        self.random = random.Random(seed)
        self.now_ms = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.next_order = 0
        self.next_index = 0
        self.run_ms: dict[int, float] = {}
        """Time on a free core of each request without an end."""
        self.outcomes: dict[int, Outcome] = {}
        self.executing: set[int] = set()
        self.sound: dict[int, float] = {}
        """Arrival time of each well-behaved request."""
        self.served: set[int] = set()
        self.answered: set[int] = set()
        self.idle_refusals = 0
        self.style = {name: self.random.random() for name in ("rate", "figures", "names", "leaving", "runs")}
        self.controller = make_controller(self)

    # -- events

    def at(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Do something after a delay."""
        self.next_order += 1
        heapq.heappush(self.events, (self.now_ms + delay_ms, self.next_order, action))

    def run_until(self, end_ms: float) -> None:
        """Play all events up to a time."""
        while self.events and self.events[0][0] <= end_ms:
            self.now_ms, _, action = heapq.heappop(self.events)
            action()
        self.now_ms = end_ms

    def start_sound_clients(self) -> None:
        """Send well-behaved requests from now on."""
        self._arrive(self.next_index % SOUND_CLIENTS, RUN_MS, RUN_MS, SIZE_BYTES)
        self.at(SOUND_INTERVAL_MS, self.start_sound_clients)

    def start_hostile_client(self, until_ms: float) -> None:
        """Send hostile requests from now until a time."""
        if self.now_ms >= until_ms:
            return
        self._hostile_request()
        pause_ms = MIN_HOSTILE_INTERVAL_MS + 200.0 * self.style["rate"] ** 3 * self.random.random()
        self.at(pause_ms, lambda: self.start_hostile_client(until_ms))

    def _hostile_request(self) -> None:
        draw = self.random
        extreme = draw.random() < self.style["figures"]
        client = draw.choice((HOSTILE_CLIENT, HOSTILE_CLIENT, 0, 1000 + self.next_index))
        index = self._arrive(
            client if self.style["names"] > draw.random() else HOSTILE_CLIENT,
            run_ms=draw.choice((1.0, RUN_MS, LONGEST_HOSTILE_RUN_MS * self.style["runs"])),
            work_ms=draw.choice((None, 0.001, 1.0, 4400.0)) if extreme else RUN_MS,
            size_bytes=draw.choice((1, 100, 2_000_000)) if extreme else SIZE_BYTES,
            deadline_ms=draw.choice((None, 0.0, 1.0, 300.0, 4400.0)) if extreme else None,
            queued_for_ms=draw.choice((0.0, 1000.0, 100_000.0)) if extreme else 0.0,
        )
        self.outcomes[index] = draw.choice((Outcome.COMPLETED, Outcome.ERRORED, Outcome.SUPERSEDED))
        if draw.random() < self.style["leaving"]:
            leave_after_ms = draw.choice((0.0, 5.0, 50.0, 500.0))
            self.at(leave_after_ms, lambda: self._leave(index, draw.choice((True, False))))

    def _arrive(
        self,
        client: int,
        run_ms: float,
        work_ms: float | None,
        size_bytes: int,
        deadline_ms: float | None = None,
        queued_for_ms: float | None = None,
    ) -> int:
        index = self.next_index
        self.next_index += 1
        if queued_for_ms is None:
            self.sound[index] = self.now_ms
        self.run_ms[index] = run_ms
        deadline_at_ms = None if deadline_ms is None else self.now_ms + deadline_ms
        class_index = index % len(self.controller.workload.classes)
        arrival = RequestArrival(
            index,
            class_index,
            -1,
            client,
            deadline_at_ms,
            work_ms,
            size_bytes,
            False,
            queued_for_ms or 0.0,
            None,
        )
        self.controller.request_arrived(self.now_ms, arrival)
        return index

    def _leave(self, index: int, gives_up: bool) -> None:
        if index not in self.controller.workload.requests:
            return
        if gives_up:
            self.controller.client_gave_up(self.now_ms, index)
        else:
            self.controller.client_disconnected(self.now_ms, index)

    def _end_run(self, index: int, started_ms: float) -> None:
        self.executing.discard(index)
        outcome = self.outcomes.pop(index, Outcome.COMPLETED)
        if outcome == Outcome.COMPLETED and index not in self.answered:
            self.served.add(index)
        self.controller.run_ended(self.now_ms, index, outcome, self.now_ms - started_ms)

    def share_served(self, from_ms: float, to_ms: float) -> float:
        """Return the share that was served of the well-behaved requests that arrived in a time."""
        arrived = [index for index, at_ms in self.sound.items() if from_ms <= at_ms < to_ms]
        return len(self.served.intersection(arrived)) / max(1, len(arrived))

    # -- actions of the controller

    def start(self, index: int) -> None:
        """Start a run, which takes longer the more runs share the cores."""
        self.executing.add(index)
        contention = max(1.0, len(self.executing) / CORES)
        started_ms = self.now_ms
        self.at(self.run_ms[index] * contention, lambda: self._end_run(index, started_ms))

    def reject(self, index: int, terminal: bool, retry_after_ms: float, reason: Any) -> None:
        """Note the answer."""
        self.answered.add(index)

    def fail(self, index: int) -> None:
        """Note the answer."""
        self.answered.add(index)

    def report_idle_refusals(self, refused: int, duration_ms: float) -> None:
        """Count the report."""
        self.idle_refusals += 1

    def schedule_tick(self, delay_ms: float) -> None:
        """Deliver the next tick, with gauges."""
        self.at(delay_ms, self._tick)

    def _tick(self) -> None:
        running = len(self.executing)
        self.controller.on_tick(self.now_ms, min(1.0, running / CORES), float(running))

    def _ignore(self, *arguments: Any) -> None:
        """Do nothing."""

    stop = share = call = skip = abandon_run = remember = forget = release = _ignore
    set_readiness = publish_load = set_idle_timeout = _ignore
