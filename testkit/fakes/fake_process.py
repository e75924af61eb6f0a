"""Fakes that run in separate processes, so that they do not slow down the interpreter of the test."""

import multiprocessing
from collections.abc import Callable
from typing import Any

START_TIMEOUT_S = 20.0
RESULT_TIMEOUT_S = 10.0
EXIT_TIMEOUT_S = 5.0


class FakeProcess:
    """A fake in a separate process.

    The function `serve(pipe, *arguments)` of the fake sends its port or ports, receives the Unix time at
    which schedules start, and sends its counts once it receives `None`.
    """

    def __init__(self, serve: Callable[..., None], *arguments: Any) -> None:
        """Start the process and wait until the fake listens.

        Raises:
            RuntimeError: the fake did not start within `START_TIMEOUT_S`.
        """
        context = multiprocessing.get_context("spawn")
        self.pipe, remote_end = context.Pipe()
        self.process = context.Process(target=serve, args=(remote_end, *arguments), daemon=True)
        self.process.start()
        if not self.pipe.poll(START_TIMEOUT_S):
            raise RuntimeError(f"fake {serve.__module__} did not start within {START_TIMEOUT_S} s")
        ports = self.pipe.recv()
        self.ports: list[int] = ports if isinstance(ports, list) else [ports]
        self.address = f"127.0.0.1:{self.ports[0]}"

    def start_schedules(self, at_s: float) -> None:
        """Set the Unix time at which the schedules start."""
        self.pipe.send(at_s)

    def stop(self) -> Any:
        """End the process and return its counts; `None` if it does not answer."""
        self.pipe.send(None)
        counts = self.pipe.recv() if self.pipe.poll(RESULT_TIMEOUT_S) else None
        self.process.terminate()
        self.process.join(EXIT_TIMEOUT_S)
        return counts
