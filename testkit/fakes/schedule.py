"""Figures that change by script, and processes that start together."""

import bisect
import multiprocessing
from collections.abc import Callable, Sequence
from typing import Any


class Script:
    """A figure by time: `steps` are (seconds from the start, value), the first at 0."""

    def __init__(self, steps: Sequence[tuple[float, float]]) -> None:
        self.times = [at for at, _ in steps]
        self.values = [value for _, value in steps]

    def at(self, seconds: float) -> float:
        return self.values[max(0, bisect.bisect_right(self.times, seconds) - 1)]

    def until_next(self, seconds: float) -> float:
        """Seconds to the next change; a second where there is none soon."""
        at = bisect.bisect_right(self.times, seconds)
        return min(1.0, self.times[at] - seconds) if at < len(self.times) else 1.0


class Apart:
    """A stand-in in a process of its own: `serve(pipe, *given)` sends its port, at the end its counts."""

    def __init__(self, serve: Callable[..., None], *given: Any) -> None:
        context = multiprocessing.get_context("spawn")
        self.pipe, theirs = context.Pipe()
        self.process = context.Process(target=serve, args=(theirs, *given), daemon=True)
        self.process.start()
        if not self.pipe.poll(20.0):
            raise RuntimeError("a stand-in did not start")
        told = self.pipe.recv()
        self.ports = told if isinstance(told, list) else [told]
        self.address = f"127.0.0.1:{self.ports[0]}"

    def begin(self, at: float) -> None:
        """The scripts count from `at`, in Unix seconds."""
        self.pipe.send(at)

    def end(self) -> Any:
        self.pipe.send(None)
        counted = self.pipe.recv() if self.pipe.poll(10.0) else None
        self.process.terminate()
        self.process.join(5.0)
        return counted
