"""The sockets of one port for streams and datagrams, and the threads that accept, connect and read datagrams.

The endpoint makes no decisions; it passes all events to `Transport`.
"""

import socket
import time
from typing import Protocol

from vetchford.runtime.metrics import Metrics
from vetchford.runtime.thread_pool import start_thread
from vetchford.transport import framing
from vetchford.transport.faults import FrameFault
from vetchford.transport.framing import Envelope, FrameError

Address = tuple[str, int]

CONNECT_TIMEOUT_S = 1.0
ACCEPT_RETRY_S = 0.1  # after an error; mostly the process is out of file descriptors
READ_RETRY_S = 0.01  # after an error of the datagram socket
LISTEN_BACKLOG = 64


class EndpointEvents(Protocol):
    """Callbacks of an endpoint, each called on the thread on which the event happens."""

    def stream_accepted(self, sock: socket.socket, host: str) -> None:
        """Handle an accepted connection; the callee owns the socket."""

    def stream_connected(self, link: int, sock: socket.socket) -> None:
        """Handle the established connection of a link; the callee owns the socket."""

    def connect_failed(self, link: int, problem: Exception) -> None:
        """Handle the failure to connect a link."""

    def datagram_received(self, host: str, envelope: Envelope) -> None:
        """Handle a decoded datagram."""

    def datagram_refused(self, fault: FrameFault) -> None:
        """Handle a datagram that can't be decoded."""


class Endpoint:
    """The sockets bound to one address, which the endpoint owns until `close`."""

    def __init__(self, address: Address, events: EndpointEvents, metrics: Metrics) -> None:
        """Bind the address; raise OSError if that fails."""
        self.address = address
        self.events = events
        self.metrics = metrics
        self.listener = socket.create_server(address, backlog=LISTEN_BACKLOG)
        try:
            self.datagram_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            self.datagram_socket.bind(address)
        except OSError:
            self.listener.close()
            raise

    def start(self) -> None:
        """Start accepting connections and reading datagrams, on two threads that end with the process."""
        start_thread(self._accept, "transport-accept", self.metrics)
        start_thread(self._read_datagrams, "transport-datagrams", self.metrics)

    def close(self) -> None:
        """Close both sockets of an endpoint that was not started."""
        self.listener.close()
        self.datagram_socket.close()

    def connect(self, link: int, address: Address) -> None:
        """Connect to an address on a new thread; `link` is passed to the callback with the result."""
        start_thread(lambda: self._connect(link, address), "transport-connect", self.metrics)

    def send_datagram(self, data: bytes, address: Address) -> None:
        """Send without blocking; raise OSError if the address is unreachable or the socket buffer is full."""
        self.datagram_socket.sendto(data, socket.MSG_DONTWAIT, address)

    def _accept(self) -> None:
        while True:
            try:
                sock, (host, _) = self.listener.accept()
            except OSError as problem:  # out of file descriptors: connections wait in the backlog
                self.metrics.log_sampled("accept_failed", problem=str(problem))
                time.sleep(ACCEPT_RETRY_S)
                continue
            self.events.stream_accepted(sock, host)

    def _connect(self, link: int, address: Address) -> None:
        try:
            any_port = (self.address[0], 0)
            sock = socket.create_connection(address, CONNECT_TIMEOUT_S, any_port)
            sock.settimeout(None)
        except Exception as problem:  # any error must be reported, or the link is never retried
            self.events.connect_failed(link, problem)
            return
        self.events.stream_connected(link, sock)

    def _read_datagrams(self) -> None:
        while True:
            try:
                data, (host, _) = self.datagram_socket.recvfrom(framing.MAX_DATAGRAM_BYTES + 1)
                self.events.datagram_received(host, framing.decode_datagram(data))
            except FrameError as problem:
                self.events.datagram_refused(problem.fault)
            except OSError as problem:  # an ICMP error for a datagram sent to a closed port
                self.metrics.log_sampled("datagram_not_read", problem=str(problem))
                time.sleep(READ_RETRY_S)


def parse_address(address: str) -> Address:
    """Return host and port of "host:port"; raise ValueError if the port is not a number."""
    host, _, port = address.rpartition(":")
    return host, int(port)
