"""Links between named programs on loopback that a test can break: one relay for each direction.

A program that connects to another is given the address of the relay. Faults of a link:

    cut       resets streams, refuses new ones and drops datagrams
    one_way   accepts data from the connecting side without delivering it; the other direction works
    stall     accepts connections and reads nothing
    slow      delays each chunk and datagram by `SLOW_S`
    lose      drops datagrams at random, by the seed
    double    sends datagrams twice
    reorder   delays a datagram until the next one is sent
    torn      sends half of the next chunk of each stream and closes the stream
    heal      ends all faults
"""

import contextlib
import itertools
import random
import socket
import struct
import threading
import time
from collections.abc import Iterable

SLOW_S = 0.25
LOSS_FRACTION = 0.3
RESET = struct.pack("ii", 1, 0)
"""`SO_LINGER` value that makes a close reset the stream."""
MAX_READ_BYTES = 65_536
CONNECT_TIMEOUT_S = 1.0
CLOSE_DELAY_S = 0.05
"""Time for the other direction of a stream to end before both sockets are closed."""
PORT_ATTEMPTS = 100
LISTEN_BACKLOG = 16
SEEDS_PER_CLUSTER = 1000


def open_listener_and_datagram_socket() -> tuple[socket.socket, socket.socket]:
    """Return a stream listener and a datagram socket on the same port.

    Raises:
        RuntimeError: each port tried was already in use by another datagram socket.
    """
    for _ in range(PORT_ATTEMPTS):
        listener = socket.create_server(("127.0.0.1", 0), backlog=LISTEN_BACKLOG)
        datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            datagrams.bind(listener.getsockname())
            return listener, datagrams
        except OSError:
            listener.close()
            datagrams.close()
    raise RuntimeError(f"no port free for streams and datagrams in {PORT_ATTEMPTS} attempts")


class Link:
    """A relay from one program to another: streams that the first opens, datagrams that it sends."""

    def __init__(self, source: str, target: str, target_address: tuple[str, int], seed: int) -> None:
        """Start listening and relaying.

        Args:
            source: the program that connects and sends.
            target: the other program.
            target_address: address of the other program.
            seed: determines which datagrams are lost.
        """
        self.source = source
        self.target = target
        self.target_address = target_address
        self.rng = random.Random(seed)
        self.faults: set[str] = set()
        self.fault_counts: dict[str, int] = {}
        """How often each fault affected a stream, a chunk or a datagram."""
        self.changed = threading.Condition()
        self.streams: list[socket.socket] = []
        self.reordered: bytes | None = None
        self.listener, self.datagrams = open_listener_and_datagram_socket()
        self.port: int = self.listener.getsockname()[1]
        self.datagram_sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.running = True
        for relay_loop in (self._accept, self._relay_datagrams):
            threading.Thread(target=relay_loop, daemon=True).start()

    # -- faults

    def fault(self, kind: str) -> None:
        """Begin a fault; `heal` ends all faults."""
        with self.changed:
            if kind == "heal":
                self.faults.clear()
            else:
                self.faults.add(kind)
            self.changed.notify_all()
        if kind == "cut":
            self._reset()

    def _affects(self, kind: str) -> bool:
        """Return whether a fault is active; count the stream, chunk or datagram that it affects."""
        if kind not in self.faults:
            return False
        self.fault_counts[kind] = self.fault_counts.get(kind, 0) + 1
        return True

    def _reset(self) -> None:
        streams = self.streams
        self.streams = []
        for sock in streams:
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                sock.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Close all streams and release the port."""
        self.running = False
        self.fault("heal")
        self._reset()
        for sock in (self.listener, self.datagrams, self.datagram_sender):
            with contextlib.suppress(OSError):
                sock.close()

    # -- streams

    def _accept(self) -> None:
        while self.running:
            try:
                client_side, _ = self.listener.accept()
            except OSError:
                continue
            try:
                if self._affects("cut"):
                    client_side.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                    client_side.close()
                    continue
                server_side = socket.create_connection(self.target_address, CONNECT_TIMEOUT_S)
                server_side.settimeout(None)
            except OSError:
                if not self.running:
                    return
                with contextlib.suppress(OSError):
                    client_side.close()
                continue
            self.streams += [client_side, server_side]
            for source, target, is_forward in (
                (client_side, server_side, True),
                (server_side, client_side, False),
            ):
                threading.Thread(
                    target=self._relay_stream, args=(source, target, is_forward), daemon=True
                ).start()

    def _relay_stream(self, source: socket.socket, target: socket.socket, is_forward: bool) -> None:
        with contextlib.suppress(OSError):
            self._relay_chunks(source, target, is_forward)
        for sock in (source, target):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            with contextlib.suppress(ValueError):
                self.streams.remove(sock)
        if is_forward:
            time.sleep(CLOSE_DELAY_S)
            for sock in (source, target):
                sock.close()

    def _relay_chunks(self, source: socket.socket, target: socket.socket, is_forward: bool) -> None:
        while True:
            self._wait_while_stalled()
            data = source.recv(MAX_READ_BYTES)
            if not data:
                return
            if self._affects("slow"):
                time.sleep(SLOW_S)
            if is_forward and self._affects("one_way"):
                self._wait_while_one_way()
            if self._affects("torn"):
                target.sendall(data[: len(data) // 2])
                return
            target.sendall(data)

    def _wait_while_stalled(self) -> None:
        with self.changed:
            while self.running and self._affects("stall"):
                self.changed.wait()

    def _wait_while_one_way(self) -> None:
        """Hold sent data back as an unreachable network does: it arrives if the fault ends in time."""
        with self.changed:
            while self.running and "one_way" in self.faults:
                self.changed.wait()

    # -- datagrams

    def _relay_datagrams(self) -> None:
        while self.running:
            try:
                data = self.datagrams.recv(MAX_READ_BYTES)
            except OSError:
                if not self.running:
                    return
                continue
            if not self._is_dropped():
                self._relay_datagram(data)

    def _is_dropped(self) -> bool:
        if self._affects("cut") or self._affects("one_way") or self._affects("stall"):
            return True
        return "lose" in self.faults and self.rng.random() < LOSS_FRACTION and self._affects("lose")

    def _relay_datagram(self, data: bytes) -> None:
        if self._affects("slow"):
            threading.Timer(SLOW_S, self._send, (data,)).start()
            return
        if "reorder" in self.faults and self.reordered is None:
            self.reordered = data
            return
        self._send(data)
        if self._affects("double"):
            self._send(data)
        if self.reordered is not None:
            self._affects("reorder")
            delayed = self.reordered
            self.reordered = None
            self._send(delayed)

    def _send(self, data: bytes) -> None:
        with contextlib.suppress(OSError):
            self.datagram_sender.sendto(data, self.target_address)


class Links:
    """Links in both directions between each pair of programs."""

    def __init__(self, programs: dict[str, tuple[str, int]], seed: int) -> None:
        """Create the links between all pairs.

        Args:
            programs: addresses by program name.
            seed: determines which datagrams are lost.
        """
        self.links = {
            (source, target): Link(source, target, programs[target], seed * SEEDS_PER_CLUSTER + number)
            for number, (source, target) in enumerate(itertools.permutations(programs, 2))
        }

    def address(self, source: str, target: str) -> str:
        """Return the address on which `source` reaches `target`."""
        return f"127.0.0.1:{self.links[source, target].port}"

    def between(self, side: set[str]) -> list[Link]:
        """Return the links between `side` and the other programs, in both directions."""
        return [link for (source, target), link in self.links.items() if (source in side) != (target in side)]

    def of(self, name: str) -> list[Link]:
        """Return the links from and to the program `name`."""
        return [link for pair, link in self.links.items() if name in pair]

    def fault(self, kind: str, links: Iterable[Link]) -> None:
        """Begin a fault on these links; `heal` ends all their faults."""
        for link in links:
            link.fault(kind)

    def heal(self) -> None:
        """End the faults of all links."""
        self.fault("heal", self.links.values())

    def fault_counts(self) -> dict[str, int]:
        """Return how often each fault affected a stream, a chunk or a datagram."""
        total: dict[str, int] = {}
        for link in self.links.values():
            for kind, count in link.fault_counts.items():
                total[kind] = total.get(kind, 0) + count
        return total

    def close(self) -> None:
        """Close all links."""
        for link in self.links.values():
            link.close()
