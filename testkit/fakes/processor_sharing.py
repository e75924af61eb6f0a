"""Processor sharing in real time, used for the cores of worker pools and the slots of records services."""

import heapq
import threading
import time
from collections.abc import Callable
from typing import Any

MIN_WAIT_S = 0.0002
MS_PER_S = 1000.0


class ProcessorSharing:
    """Jobs that progress at a common rate, all at once or in a limited number of slots.

    `on_finished` is called in a separate thread, without the lock.
    """

    def __init__(
        self,
        rate: Callable[[int, float], float],
        seconds_to_next_step: Callable[[float], float],
        on_finished: Callable[[Any], None],
        slots: float = float("inf"),
    ) -> None:
        """Create a processor without jobs.

        Args:
            rate: returns the progress of each job in ms per ms, from the number of jobs and elapsed seconds.
            seconds_to_next_step: returns the time until `rate` may change, from the elapsed seconds.
            on_finished: called with each finished job.
            slots: number of jobs that progress at once; further jobs wait in order of arrival.
        """
        self.rate = rate
        self.seconds_to_next_step = seconds_to_next_step
        self.on_finished = on_finished
        self.slots = slots
        self.changed = threading.Condition()
        self.started_at_s = time.time()
        self.now_s = self.started_at_s
        self.progress_ms = 0.0
        """Progress of a job that has run since the start."""
        self.running: list[tuple[float, int, Any]] = []
        """A heap of (`progress_ms` at which the job is finished, number, job)."""
        self.waiting: list[tuple[float, Any]] = []
        self.dropped: set[Any] = set()
        self.job_count = 0
        threading.Thread(target=self._run, daemon=True).start()

    def elapsed_s(self) -> float:
        """Return the seconds from the start to the last update of the progress."""
        return self.now_s - self.started_at_s

    def running_count(self) -> int:
        """Return the number of jobs in progress."""
        return len(self.running) - len(self.dropped)

    def waiting_count(self) -> int:
        """Return the number of jobs that wait for a slot."""
        return len(self.waiting)

    def add(self, job: Any, work_ms: float) -> None:
        """Add a job that takes `work_ms` at the rate 1."""
        with self.changed:
            self._advance()
            self.waiting.append((work_ms, job))
            self._fill_slots()
            self.changed.notify()

    def drop(self, job: Any) -> None:
        """Remove a waiting or running job."""
        with self.changed:
            self._advance()
            still_waiting = [entry for entry in self.waiting if entry[1] != job]
            was_waiting = len(still_waiting) < len(self.waiting)
            if not was_waiting and any(entry[2] == job for entry in self.running):
                self.dropped.add(job)
            self.waiting = still_waiting
            self._fill_slots()

    def _advance(self) -> float:
        """Update the progress to the current time and return the current rate."""
        now_s = time.time()
        rate = self.rate(self.running_count(), self.elapsed_s())
        self.progress_ms += (now_s - self.now_s) * MS_PER_S * rate
        self.now_s = now_s
        return self.rate(self.running_count(), self.elapsed_s())

    def _fill_slots(self) -> None:
        while self.waiting and self.running_count() < self.slots:
            work_ms, job = self.waiting.pop(0)
            self.job_count += 1
            heapq.heappush(self.running, (self.progress_ms + work_ms, self.job_count, job))

    def _run(self) -> None:
        while True:
            with self.changed:
                rate = self._advance()
                finished = self._pop_finished()
                self._fill_slots()
                if not finished:
                    self.changed.wait(max(MIN_WAIT_S, self._wait_s(rate)))
            for job in finished:
                self.on_finished(job)

    def _pop_finished(self) -> list[Any]:
        finished = []
        while self.running and (self.running[0][0] <= self.progress_ms or self.running[0][2] in self.dropped):
            job = heapq.heappop(self.running)[2]
            if job in self.dropped:
                self.dropped.discard(job)
            else:
                finished.append(job)
        return finished

    def _wait_s(self, rate: float) -> float:
        wait_s = self.seconds_to_next_step(self.elapsed_s())
        if self.running and rate > 0.0:
            wait_s = min(wait_s, (self.running[0][0] - self.progress_ms) / MS_PER_S / rate)
        return wait_s
