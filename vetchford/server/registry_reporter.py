"""The membership service: reports often enough that a lost datagram or two takes no server off the list."""

import socket
import time

from vetchford.protocol import heartbeat
from vetchford.runtime.actor import Actor
from vetchford.runtime.metrics import Metrics

EVERY = 0.25  # s; an entry lapses 3 s after its last report, and one datagram in four may be lost


class RegistryReporter(Actor):
    def __init__(self, address: tuple[str, int], name: str, metrics: Metrics) -> None:
        super().__init__("members", metrics)
        self.address, self.server = address, name
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.fit: bool | None = None  # nothing is reported before it is known
        self.next = 0.0

    def move(self, address: tuple[str, int]) -> None:
        self.address, self.next = address, 0.0

    def judge(self, fit: bool) -> None:
        self.fit, self.next = fit, 0.0

    def next_timeout(self) -> float | None:
        return None if self.fit is None else max(0.0, self.next - time.monotonic())

    def on_idle(self) -> None:
        now = time.monotonic()
        if self.fit is None or now < self.next:
            return
        self.next = now + EVERY
        try:
            self.sock.sendto(heartbeat.encode_report(self.server, self.fit), self.address)
        except OSError as problem:  # the service may be down; the next report tells it
            self.metrics.log_sampled("members_unreachable", problem=str(problem))
