"""Open-loop load: requests are sent by a schedule, independent of replies, and timed from it."""

import base64
import json
import random
import selectors
import socket
import threading
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from hdrh.histogram import HdrHistogram

MAX_IN_FLIGHT = 32
"""Requests per connection that the protocol allows."""
MIN_IN_FLIGHT_TO_SPREAD = 2
"""A connection with this many requests in flight gets no further one while another can be opened."""
REJECTED_CODE = -32050
REPEAT_DELAY_S = 0.3
WORK_DEVIATION = 0.15
"""Standard deviation of the work of a request, as a fraction of the mean."""
IDLE_CLOSE_RACE_S = 0.06
"""A request sent within this time before the close of its connection crossed the close."""
TIMEOUT_MARGIN_MS = 150.0
REQUEST_MEMORY_KB = 24.0
REQUEST_STANDING = 0.5
CONNECT_TIMEOUT_S = 2.0
READ_INTERVAL_S = 0.05
LAST_REPLY_MARGIN_S = 1.0
MAX_READ_BYTES = 65_536
MAX_RESPONSE_TIME_US = 60_000_000
HEADER_END = b"\r\n\r\n"
MS_PER_S = 1000.0
US_PER_MS = 1000.0


@dataclass(frozen=True, slots=True)
class TrafficClass:
    """The requests of one class: their rate, their period and the work of each.

    `work_ms` is the mean time on a core, `calls` the number of dependency calls; `keyed` requests carry an
    idempotency key. Requests are sent from `start_s` to `end_s`.
    """

    request_class: str
    rate_per_s: float
    work_ms: float
    calls: int = 0
    keyed: bool = False
    start_s: float = 0.0
    end_s: float = 1e9


class Outcome(NamedTuple):
    """The scheduled time of a request, in seconds from the start, and whether it succeeded in time."""

    scheduled_at_s: float
    in_time: bool


@dataclass(slots=True)
class RequestCounts:
    """Counts of the requests of a class by outcome."""

    sent: int = 0
    in_time: int = 0
    late: int = 0
    rejected: int = 0
    failed: int = 0
    unsent: int = 0
    """Requests, counted in `sent` too, for which no connection was available."""
    with_retry_after: int = 0
    """Rejected requests whose reply has a retry-after."""
    response_times_us: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, MAX_RESPONSE_TIME_US, 3))
    """Response times of the requests that succeeded."""
    succeeded_at_s: list[float] = field(default_factory=list)
    """Times at which requests succeeded in time, from the start."""
    outcomes: list[Outcome] = field(default_factory=list)


@dataclass(slots=True)
class ScheduledRequest:
    """A request to be sent `at_s` after the start; a repeat has the key of an earlier request."""

    traffic: TrafficClass
    at_s: float
    key: str
    is_repeat: bool
    work_ms: float = 0.0


@dataclass(slots=True, eq=False)
class Connection:
    """A client connection."""

    number: int
    sock: socket.socket
    in_flight: dict[int, ScheduledRequest] = field(default_factory=dict)
    buffer: bytearray = field(default_factory=bytearray)
    closing: bool = False
    """Whether the connection is closed or the server has announced its close; no request is sent on it."""


class LostRequest(NamedTuple):
    """A request in flight on a connection that ended."""

    at_s: float
    key: str


def draw_schedule(
    traffic: Sequence[TrafficClass], seconds: float, seed: int, repeat_fraction: float = 0.0
) -> list[ScheduledRequest]:
    """Return a schedule with exponential gaps between requests, in order of time.

    Args:
        traffic: classes of requests.
        seconds: time until the last request.
        seed: determines the schedule.
        repeat_fraction: fraction of keyed requests that are repeated after `REPEAT_DELAY_S`.
    """
    rng = random.Random(seed)
    schedule: list[ScheduledRequest] = []
    for traffic_class in traffic:
        at_s = traffic_class.start_s + rng.expovariate(traffic_class.rate_per_s)
        while at_s < min(traffic_class.end_s, seconds):
            key = f"{rng.getrandbits(128):032x}"
            schedule.append(ScheduledRequest(traffic_class, at_s, key, is_repeat=False))
            if traffic_class.keyed and rng.random() < repeat_fraction:
                schedule.append(ScheduledRequest(traffic_class, at_s + REPEAT_DELAY_S, key, is_repeat=True))
            at_s += rng.expovariate(traffic_class.rate_per_s)
    schedule.sort(key=lambda request: request.at_s)
    for request in schedule:
        request.work_ms = max(1.0, rng.gauss(1.0, WORK_DEVIATION) * request.traffic.work_ms)
    return schedule


class LoadGenerator:
    """Sends requests to a server on several client connections."""

    def __init__(
        self,
        port: int,
        traffic: Sequence[TrafficClass],
        seconds: float,
        objective_ms: float,
        timeout_ms: float,
        seed: int,
        connections: int = 24,
        repeat_fraction: float = 0.0,
    ) -> None:
        """Draw the schedule.

        Args:
            port: loopback port of the server.
            traffic: classes of requests.
            seconds: time until the last request.
            objective_ms: response time up to which a result is in time.
            timeout_ms: age at which the client gives up on a request.
            seed: determines the schedule.
            connections: maximum number of connections, each with a client number of its own.
            repeat_fraction: fraction of keyed requests that are repeated.
        """
        self.port = port
        self.seconds = seconds
        self.objective_ms = objective_ms
        self.timeout_ms = timeout_ms
        self.max_connections = connections
        self.plan = draw_schedule(traffic, seconds, seed, repeat_fraction)
        self.counts = {traffic_class.request_class: RequestCounts() for traffic_class in traffic}
        self.repeat_counts = RequestCounts()
        self.lost: list[LostRequest] = []
        self.crossed_close = 0
        """Number of requests sent while the server was closing their idle connection."""
        self.violations: list[str] = []
        """Violations of the protocol by the server, one text each."""
        self.body_by_key: dict[str, bytes] = {}
        self.connections: list[Connection] = []
        self.selector = selectors.DefaultSelector()
        self.lock = threading.Lock()
        self.started_at_s = 0.0
        self.all_sent = False

    def run(self, start_at_s: float) -> dict[str, RequestCounts]:
        """Send the schedule, beginning at this Unix time, and return the counts by request class."""
        self.started_at_s = start_at_s
        reader = threading.Thread(target=self._read)
        reader.start()
        for number, request in enumerate(self.plan, 1):
            wait_s = start_at_s + request.at_s - time.time()
            if wait_s > 0.0:
                time.sleep(wait_s)
            self._send(number, request)
        self.all_sent = True
        reader.join()
        for connection in self.connections:
            self.violations += [
                f"no reply to a request of class {request.traffic.request_class}"
                for request in connection.in_flight.values()
            ]
            connection.sock.close()
        return self.counts

    def _counts_of(self, request: ScheduledRequest) -> RequestCounts:
        return self.repeat_counts if request.is_repeat else self.counts[request.traffic.request_class]

    # -- sending

    def _send(self, number: int, request: ScheduledRequest) -> None:
        counts = self._counts_of(request)
        counts.sent += 1
        connection = self._choose_connection()
        if connection is None:
            counts.unsent += 1
            counts.outcomes.append(Outcome(request.at_s, in_time=False))
            return
        body = self._message(number, request, connection)
        with self.lock:
            connection.in_flight[number] = request
        try:
            connection.sock.sendall(b"Content-Length: %d\r\n\r\n%b" % (len(body), body))
        except OSError:  # the server closed the idle connection, so that the request did not arrive
            with self.lock:
                connection.closing = True
                end_was_seen = connection.in_flight.pop(number, None) is None
            if not end_was_seen:
                counts.sent -= 1
                self._send(number, request)

    def _message(self, number: int, request: ScheduledRequest, connection: Connection) -> bytes:
        traffic = request.traffic
        content = f"{request.key} {request.work_ms:.3f} {traffic.calls}".encode()
        if traffic.keyed:
            content = self.body_by_key.setdefault(request.key, content)
        params: dict[str, Any] = {
            "txn": f"{number:016x}",
            "door": round(time.time() * MS_PER_S),
            "lb": connection.number,
            "limit": int(self.timeout_ms),
            "cpu": round(request.work_ms, 2),
            "ram": REQUEST_MEMORY_KB,
            "standing": REQUEST_STANDING,
            "content": base64.b64encode(content).decode(),
        }
        if traffic.keyed:
            params["unique"] = request.key
        message = {"jsonrpc": "2.0", "id": number, "method": traffic.request_class, "params": params}
        return json.dumps(message).encode()

    def _choose_connection(self) -> Connection | None:
        """Return the connection with the fewest requests in flight or a new one; `None` if none is usable."""
        with self.lock:
            usable = [connection for connection in self.connections if not connection.closing]
            chosen = min(usable, key=lambda connection: len(connection.in_flight), default=None)
            is_busy = chosen is not None and len(chosen.in_flight) >= MIN_IN_FLIGHT_TO_SPREAD
            if chosen is None or (is_busy and len(usable) < self.max_connections):
                chosen = self._connect({connection.number for connection in usable})
            if chosen is None or len(chosen.in_flight) >= MAX_IN_FLIGHT:
                return None
            return chosen

    def _connect(self, used_numbers: set[int]) -> Connection | None:
        number = next(n for n in range(1, self.max_connections + 1) if n not in used_numbers)
        try:
            sock = socket.create_connection(("127.0.0.1", self.port), CONNECT_TIMEOUT_S)
        except OSError:
            return None
        connection = Connection(number, sock)
        self.connections.append(connection)
        self.selector.register(sock, selectors.EVENT_READ, connection)
        return connection

    # -- receiving

    def _read(self) -> None:
        last_reply_s = self.seconds + self.timeout_ms / MS_PER_S + LAST_REPLY_MARGIN_S
        deadline_s = self.started_at_s + last_reply_s
        while time.time() < deadline_s and not self._is_complete():
            for key, _ in self.selector.select(READ_INTERVAL_S):
                self._read_connection(key.data)

    def _is_complete(self) -> bool:
        return self.all_sent and not any(connection.in_flight for connection in self.connections)

    def _read_connection(self, connection: Connection) -> None:
        try:
            data = connection.sock.recv(MAX_READ_BYTES)
        except OSError:
            data = b""
        if not data:
            self.selector.unregister(connection.sock)
            self._handle_end(connection)
            return
        connection.buffer += data
        self._handle_messages(connection)

    def _handle_end(self, connection: Connection) -> None:
        """Count the requests in flight as lost, unless all were sent just before the connection ended."""
        now_s = time.time() - self.started_at_s
        with self.lock:
            connection.closing = True
            unanswered = list(connection.in_flight.values())
            connection.in_flight = {}
        if all(now_s - request.at_s < IDLE_CLOSE_RACE_S for request in unanswered):
            self.crossed_close += len(unanswered)
        else:
            self.lost += [LostRequest(now_s, request.key) for request in unanswered]

    def _handle_messages(self, connection: Connection) -> None:
        buffer = connection.buffer
        while (header_end := buffer.find(HEADER_END)) >= 0:
            start = header_end + len(HEADER_END)
            end = start + int(buffer[:header_end].split(b":")[1])
            if len(buffer) < end:
                return
            message = json.loads(buffer[start:end])
            del buffer[:end]
            if "id" in message:
                self._handle_reply(connection, message)
            else:
                connection.closing = True  # the notification that the server closes the connection

    def _handle_reply(self, connection: Connection, message: dict[str, Any]) -> None:
        with self.lock:
            request = connection.in_flight.pop(message["id"], None)
        if request is None:
            self.violations.append("a reply with an id that no request in flight has")
            return
        now_s = time.time() - self.started_at_s
        response_time_ms = (now_s - request.at_s) * MS_PER_S
        in_time = "result" in message and response_time_ms <= self.objective_ms
        counts = self._counts_of(request)
        counts.outcomes.append(Outcome(request.at_s, in_time))
        if response_time_ms > self.timeout_ms + TIMEOUT_MARGIN_MS:
            request_class = request.traffic.request_class
            self.violations.append(
                f"a reply to a request of class {request_class} after {response_time_ms:.0f} ms"
            )
        if "result" in message:
            self._check_result(request, message["result"])
            counts.response_times_us.record_value(max(1, int(response_time_ms * US_PER_MS)))
            counts.in_time += in_time
            counts.late += not in_time
            if in_time:
                counts.succeeded_at_s.append(now_s)
        elif message["error"]["code"] == REJECTED_CODE:
            counts.rejected += 1
            counts.with_retry_after += message["error"].get("data", {}).get("later", 0) > 0
        else:
            counts.failed += 1

    def _check_result(self, request: ScheduledRequest, result: dict[str, Any]) -> None:
        if base64.b64decode(result["content"]) != b"done " + request.key.encode():
            self.violations.append("a result with the key of another request")
