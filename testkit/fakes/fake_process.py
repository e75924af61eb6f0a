"""Fakes in processes of their own, so that they take no time of the test's interpreter."""

import multiprocessing
from collections.abc import Callable
from typing import Any

START_TIMEOUT_S = 20.0
RESULT_TIMEOUT_S = 10.0
EXIT_TIMEOUT_S = 5.0


class FakeProcess:
    """A fake in a process of its own.

    Its function `serve(pipe, *arguments)` sends its port or ports, receives the time at which its schedules
    start, and sends what it counted once it receives `None`.
    """

    def __init__(self, serve: Callable[..., None], *arguments: Any) -> None:
        """Start the process and wait until it listens.

        Raises:
            RuntimeError: it did not start in time.
        """
        context = multiprocessing.get_context("spawn")
        self.pipe, remote_end = context.Pipe()
        self.process = context.Process(target=serve, args=(remote_end, *arguments), daemon=True)
        self.process.start()
        if not self.pipe.poll(START_TIMEOUT_S):
            raise RuntimeError("a fake did not start")
        ports = self.pipe.recv()
        self.ports: list[int] = ports if isinstance(ports, list) else [ports]
        self.address = f"127.0.0.1:{self.ports[0]}"

    def start_schedules(self, at_s: float) -> None:
        """Let the schedules count from this Unix time."""
        self.pipe.send(at_s)

    def stop(self) -> Any:
        """End the process and return what it counted; `None` if it does not answer."""
        self.pipe.send(None)
        counts = self.pipe.recv() if self.pipe.poll(RESULT_TIMEOUT_S) else None
        self.process.terminate()
        self.process.join(EXIT_TIMEOUT_S)
        return counts
