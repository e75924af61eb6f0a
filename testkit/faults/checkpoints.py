"""Forces the order of two sides: one is held at a named point until the test lets it through."""

import queue
import threading
import time
from collections.abc import Callable
from typing import Any

from testkit.fakes.peers import PATIENCE

SHORT = 0.3  # s that the other side gets where a guard holds it; where none does it needs a ms


class Checkpoint:
    """Only the first to come is held, or the first whose thread `holds` says so; the others go through."""

    def __init__(self, holds: Callable[[], bool] = lambda: True) -> None:
        self.holds, self.first = holds, threading.Lock()
        self.reached, self.through = threading.Event(), threading.Event()

    def come(self) -> None:
        if self.holds() and self.first.acquire(blocking=False):
            self.reached.set()
            assert self.through.wait(PATIENCE), "held for good: the test never let it through"

    def before(self, act: Callable[..., Any]) -> Callable[..., Any]:
        def held(*given: Any) -> Any:
            self.come()
            return act(*given)

        return held

    def wait(self) -> None:
        """Until one is held: the proof that the order occurred."""
        assert self.reached.wait(PATIENCE), "nobody came to the gate"

    def open(self) -> None:
        self.through.set()


class Wrapped:
    """Another object with some of its methods put in place of its own."""

    def __init__(self, inner: Any, **put: Any) -> None:
        self.__dict__.update(inner=inner, **put)

    def __getattr__(self, name: str) -> Any:
        return getattr(self.inner, name)


class HeldLock:
    """A lock whose next holder but none comes to the gate just behind its release."""

    def __init__(self, gate: Checkpoint) -> None:
        self.inner, self.gate = threading.Lock(), gate

    def __enter__(self) -> None:
        self.inner.acquire()

    def __exit__(self, *problem: Any) -> None:
        self.inner.release()
        self.gate.come()


def beside(act: Callable[[], Any]) -> tuple[threading.Thread, list[Any]]:
    """Does it on a thread; what it returned."""
    out: list[Any] = []
    thread = threading.Thread(target=lambda: out.append(act()), daemon=True)
    thread.start()
    return thread, out


def until(holds: Callable[[], Any], what: str) -> None:
    end = time.monotonic() + PATIENCE
    while not holds():
        assert time.monotonic() < end, f"never came: {what}"
        time.sleep(0.002)


class Heard:
    """In the module's place: queues what it is told."""

    def __init__(self) -> None:
        self.told: queue.Queue[Any] = queue.Queue()

    def __getattr__(self, name: str) -> str:
        return name

    def post(self, act: str, *given: Any) -> None:
        self.told.put((act, *given))

    post_when_room = post

    def take(self, wanted: str) -> tuple[Any, ...]:
        while True:
            entry = self.told.get(timeout=PATIENCE)
            if entry[0] == wanted:
                return entry[1:]
