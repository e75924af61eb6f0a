"""A records service with a fixed number of slots whose speed follows a schedule."""

import contextlib
import socket
import threading
from collections.abc import Sequence
from multiprocessing.connection import Connection
from typing import Any, BinaryIO, NamedTuple

from testkit.fakes.processor_sharing import ProcessorSharing
from testkit.fakes.schedule import StepSchedule

MAX_WAITING_CALLS = 200
LISTEN_BACKLOG = 64
LINE_END = b"\r\n"


class Call(NamedTuple):
    """A call; its id is unique on the connection `sock`."""

    id: bytes
    sock: socket.socket
    body: bytes


class FakeRecordsService:
    """A records service that answers each call after its duration and rejects calls while too many wait."""

    def __init__(
        self, slots: int, call_ms: float, speed: StepSchedule, max_waiting: int = MAX_WAITING_CALLS
    ) -> None:
        """Start listening on a loopback port.

        Args:
            slots: number of calls that are executed at once.
            call_ms: duration of a call at full speed.
            speed: factor of the full speed over time.
            max_waiting: number of calls waiting for a slot from which further calls are rejected.
        """
        self.call_ms = call_ms
        self.speed = speed
        self.max_waiting = max_waiting
        self.capacity = ProcessorSharing(self._rate, speed.seconds_to_next_step, self._finished, slots)
        self.answered_at_s: list[float] = []
        """Times at which calls were executed, in seconds from the start."""
        self.executed: dict[str, int] = {}
        """Number of executions by body of the call."""
        self.cancelled = 0
        self.rejected = 0
        self.in_flight: set[Call] = set()
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=LISTEN_BACKLOG)
        threading.Thread(target=self._accept, daemon=True).start()

    def _rate(self, count: int, elapsed_s: float) -> float:
        return self.speed.value_at(elapsed_s)

    def _accept(self) -> None:
        while True:
            sock, _ = self.listener.accept()
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._read, args=(sock,), daemon=True).start()

    def _read(self, sock: socket.socket) -> None:
        calls: set[Call] = set()
        with contextlib.suppress(OSError):
            self._read_calls(sock, sock.makefile("rb"), calls)
        for call in list(calls):
            self._cancel(call, calls)

    def _read_calls(self, sock: socket.socket, lines: BinaryIO, calls: set[Call]) -> None:
        for line in lines:
            words = line.split()
            if words[0] == b"OP":
                body = lines.read(int(words[3]) + len(LINE_END))[: -len(LINE_END)]
                self._start(Call(words[1], sock, body), calls)
                continue
            for call in [call for call in calls if call.id == words[1]]:
                self._cancel(call, calls)

    def _start(self, call: Call, calls: set[Call]) -> None:
        if self.capacity.waiting_count() >= self.max_waiting:
            self.rejected += 1
            call.sock.sendall(call.id + b" WAIT" + LINE_END)
            return
        calls.add(call)
        self.in_flight.add(call)
        self.capacity.add(call, self.call_ms)

    def _cancel(self, call: Call, calls: set[Call]) -> None:
        calls.discard(call)
        if call in self.in_flight:
            self.in_flight.discard(call)
            self.cancelled += 1
        self.capacity.drop(call)

    def _finished(self, call: Call) -> None:
        self.in_flight.discard(call)
        self.answered_at_s.append(self.capacity.elapsed_s())
        body = call.body.decode()
        self.executed[body] = self.executed.get(body, 0) + 1
        try:
            call.sock.sendall(b"%b DONE 2\r\nok\r\n" % call.id)
        except OSError:
            self.cancelled += 1


def serve(
    pipe: "Connection[Any, Any]", slots: int, call_ms: float, speed: Sequence[tuple[float, float]]
) -> None:
    """Run a records service as a `FakeProcess`, which returns the counts of the service."""
    service = FakeRecordsService(slots, call_ms, StepSchedule(speed))
    pipe.send(service.listener.getsockname()[1])
    while (started_at_s := pipe.recv()) is not None:
        service.capacity.started_at_s = started_at_s
    pipe.send(
        {
            "done": service.answered_at_s,
            "ran": service.executed,
            "turned_away": service.rejected,
            "given_up": service.cancelled,
        }
    )
