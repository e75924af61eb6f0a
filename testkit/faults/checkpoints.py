"""Forces the order of two sides of a race: one is held at a named point until the test lets it through."""

import queue
import threading
from collections.abc import Callable
from typing import Any

from testkit.fakes.peers import WAIT_TIMEOUT_S

SHORT = 0.3
"""Seconds that the other side gets where a guard holds it; where none does it needs a ms."""


class Checkpoint:
    """A point at which the first thread that comes is held; the others go through."""

    def __init__(self, holds: Callable[[], bool] = lambda: True) -> None:
        """Create a checkpoint nobody has come to.

        Args:
            holds: tells whether the calling thread is one to hold.
        """
        self.holds = holds
        self.first = threading.Lock()
        self.reached = threading.Event()
        self.through = threading.Event()

    def come(self) -> None:
        """Pass the checkpoint, or be held until it is opened."""
        if self.holds() and self.first.acquire(blocking=False):
            self.reached.set()
            assert self.through.wait(WAIT_TIMEOUT_S), "held for good: the test never let it through"

    def before(self, act: Callable[..., Any]) -> Callable[..., Any]:
        """Return a function that passes the checkpoint and then calls `act`."""

        def held(*given: Any) -> Any:
            self.come()
            return act(*given)

        return held

    def wait(self) -> None:
        """Return once a thread is held: the proof that the order occurred."""
        assert self.reached.wait(WAIT_TIMEOUT_S), "nobody came to the checkpoint"

    def open(self) -> None:
        """Let the held thread go on."""
        self.through.set()


class Wrapped:
    """Another object with some of its attributes replaced."""

    def __init__(self, inner: Any, **replaced: Any) -> None:
        """Wrap `inner`."""
        self.__dict__.update(inner=inner, **replaced)

    def __getattr__(self, name: str) -> Any:
        """Return what is not replaced."""
        return getattr(self.inner, name)


class HeldLock:
    """A lock whose holders come to the checkpoint right after its release."""

    def __init__(self, checkpoint: Checkpoint) -> None:
        """Create a lock with its checkpoint."""
        self.inner = threading.Lock()
        self.checkpoint = checkpoint

    def __enter__(self) -> None:
        """Acquire the lock."""
        self.inner.acquire()

    def __exit__(self, *problem: object) -> None:
        """Release the lock and come to the checkpoint."""
        self.inner.release()
        self.checkpoint.come()


def run_in_thread(act: Callable[[], Any]) -> tuple[threading.Thread, list[Any]]:
    """Start `act` in a thread; return the thread and the list to which the result is appended."""
    results: list[Any] = []
    thread = threading.Thread(target=lambda: results.append(act()), daemon=True)
    thread.start()
    return thread, results


class PostedEvents:
    """Stands in for the admission actor and queues the events that are posted to it."""

    def __init__(self) -> None:
        """Create an empty queue."""
        self.events: queue.Queue[tuple[Any, ...]] = queue.Queue()

    def __getattr__(self, name: str) -> str:
        """Return the name of an event handler in place of the handler."""
        return name

    def post(self, act: str, *given: Any) -> None:
        """Queue an event."""
        self.events.put((act, *given))

    post_when_room = post

    def take(self, wanted: str) -> tuple[Any, ...]:
        """Return the arguments of the next event of that name; those before it are dropped.

        Raises:
            queue.Empty: none came in time.
        """
        while True:
            entry = self.events.get(timeout=WAIT_TIMEOUT_S)
            if entry[0] == wanted:
                return entry[1:]
