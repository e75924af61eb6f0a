"""Processor sharing in real time: what a worker pool's cores and a records service's slots have in common."""

import heapq
import threading
import time
from collections.abc import Callable
from typing import Any

MIN_WAIT_S = 0.0002
MS_PER_S = 1000.0


class ProcessorSharing:
    """Jobs that all progress at one rate, at once or in a number of slots.

    A thread of its own calls `finished`, without the lock.
    """

    def __init__(
        self,
        rate: Callable[[int, float], float],
        seconds_to_next_step: Callable[[float], float],
        finished: Callable[[Any], None],
        slots: float = float("inf"),
    ) -> None:
        """Begin with no job.

        Args:
            rate: progress in ms per ms of each job, by the number of jobs and the seconds from the start.
            seconds_to_next_step: time until `rate` may change, by the seconds from the start.
            finished: called with each job that is done.
            slots: jobs that progress at once; the others wait in order of arrival.
        """
        self.rate = rate
        self.seconds_to_next_step = seconds_to_next_step
        self.finished = finished
        self.slots = slots
        self.changed = threading.Condition()
        self.started_at_s = time.time()
        self.now_s = self.started_at_s
        self.progress_ms = 0.0
        """What a job would have had that was there from the start."""
        self.running: list[tuple[float, int, Any]] = []
        """A heap by the progress at which each job is done."""
        self.waiting: list[tuple[float, Any]] = []
        self.dropped: set[Any] = set()
        self.count = 0
        threading.Thread(target=self._run, daemon=True).start()

    def elapsed_s(self) -> float:
        """Return the time from the start to the last progress."""
        return self.now_s - self.started_at_s

    def running_count(self) -> int:
        """Return the number of jobs that progress."""
        return len(self.running) - len(self.dropped)

    def waiting_count(self) -> int:
        """Return the number of jobs without a slot."""
        return len(self.waiting)

    def add(self, job: Any, work_ms: float) -> None:
        """Add a job."""
        with self.changed:
            self._advance()
            self.waiting.append((work_ms, job))
            self._fill_slots()
            self.changed.notify()

    def drop(self, job: Any) -> None:
        """Take a job out, wherever it is."""
        with self.changed:
            self._advance()
            still_waiting = [entry for entry in self.waiting if entry[1] != job]
            was_waiting = len(still_waiting) < len(self.waiting)
            if not was_waiting and any(entry[2] == job for entry in self.running):
                self.dropped.add(job)
            self.waiting = still_waiting
            self._fill_slots()

    def _advance(self) -> float:
        """Bring progress up to now and return the rate from here on."""
        now_s = time.time()
        rate = self.rate(self.running_count(), self.elapsed_s())
        self.progress_ms += (now_s - self.now_s) * MS_PER_S * rate
        self.now_s = now_s
        return self.rate(self.running_count(), self.elapsed_s())

    def _fill_slots(self) -> None:
        while self.waiting and self.running_count() < self.slots:
            work_ms, job = self.waiting.pop(0)
            self.count += 1
            heapq.heappush(self.running, (self.progress_ms + work_ms, self.count, job))

    def _run(self) -> None:
        while True:
            with self.changed:
                rate = self._advance()
                done = self._take_done()
                self._fill_slots()
                if not done:
                    self.changed.wait(max(MIN_WAIT_S, self._wait_s(rate)))
            for job in done:
                self.finished(job)

    def _take_done(self) -> list[Any]:
        done = []
        while self.running and (self.running[0][0] <= self.progress_ms or self.running[0][2] in self.dropped):
            job = heapq.heappop(self.running)[2]
            if job in self.dropped:
                self.dropped.discard(job)
            else:
                done.append(job)
        return done

    def _wait_s(self, rate: float) -> float:
        wait_s = self.seconds_to_next_step(self.elapsed_s())
        if self.running and rate > 0.0:
            wait_s = min(wait_s, (self.running[0][0] - self.progress_ms) / MS_PER_S / rate)
        return wait_s
