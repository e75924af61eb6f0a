"""Checkpoints that force the order of two threads in a race by holding one until the test releases it."""

import queue
import threading
from collections.abc import Callable
from typing import Any

from testkit.fakes.peers import WAIT_TIMEOUT_S

GUARDED_WAIT_S = 0.3
"""How long a test waits for the second thread where the code under test makes it wait.

A thread that is not made to wait needs about a millisecond.
"""


class Checkpoint:
    """A point that holds the first thread that reaches it; later threads pass."""

    def __init__(self, should_hold: Callable[[], bool] = lambda: True) -> None:
        """Create a checkpoint that no thread has reached.

        Args:
            should_hold: returns whether the calling thread may be held.
        """
        self.should_hold = should_hold
        self.first_thread = threading.Lock()
        self.reached = threading.Event()
        self.released = threading.Event()

    def pass_or_wait(self) -> None:
        """Return at once, or hold the calling thread until the checkpoint is opened."""
        if self.should_hold() and self.first_thread.acquire(blocking=False):
            self.reached.set()
            assert self.released.wait(WAIT_TIMEOUT_S), (
                f"held for {WAIT_TIMEOUT_S} s: the test did not open the checkpoint"
            )

    def before(self, function: Callable[..., Any]) -> Callable[..., Any]:
        """Return a function that passes the checkpoint and then calls `function`."""

        def call_after_checkpoint(*arguments: Any) -> Any:
            self.pass_or_wait()
            return function(*arguments)

        return call_after_checkpoint

    def wait(self) -> None:
        """Wait until a thread is held, which proves that the intended order occurred."""
        assert self.reached.wait(WAIT_TIMEOUT_S), (
            f"no thread reached the checkpoint within {WAIT_TIMEOUT_S} s"
        )

    def open(self) -> None:
        """Release the held thread."""
        self.released.set()


class Wrapped:
    """Another object with some of its attributes replaced."""

    def __init__(self, inner: Any, **replaced: Any) -> None:
        """Wrap `inner`."""
        self.__dict__.update(inner=inner, **replaced)

    def __getattr__(self, name: str) -> Any:
        """Return an attribute of `inner` that is not replaced."""
        return getattr(self.inner, name)


class HeldLock:
    """A lock that passes its checkpoint right after each release."""

    def __init__(self, checkpoint: Checkpoint) -> None:
        """Create a lock that passes `checkpoint` after each release."""
        self.inner = threading.Lock()
        self.checkpoint = checkpoint

    def __enter__(self) -> None:
        """Acquire the lock."""
        self.inner.acquire()

    def __exit__(self, *problem: object) -> None:
        """Release the lock and pass the checkpoint."""
        self.inner.release()
        self.checkpoint.pass_or_wait()


def run_in_thread(function: Callable[[], Any]) -> tuple[threading.Thread, list[Any]]:
    """Start `function` in a thread; return the thread and the list to which its result is appended."""
    results: list[Any] = []
    thread = threading.Thread(target=lambda: results.append(function()), daemon=True)
    thread.start()
    return thread, results


class PostedEvents:
    """A fake admission actor that queues the events posted to it."""

    def __init__(self) -> None:
        """Create an empty queue."""
        self.events: queue.Queue[tuple[Any, ...]] = queue.Queue()

    def __getattr__(self, name: str) -> str:
        """Return the name of an event handler in place of the handler."""
        return name

    def post(self, handler: str, *arguments: Any) -> None:
        """Queue an event."""
        self.events.put((handler, *arguments))

    post_when_room = post

    def wait_for(self, event: str) -> tuple[Any, ...]:
        """Return the arguments of the next event of this name; drop the events before it.

        Raises:
            queue.Empty: no such event was posted within `WAIT_TIMEOUT_S`.
        """
        while True:
            entry = self.events.get(timeout=WAIT_TIMEOUT_S)
            if entry[0] == event:
                return entry[1:]
