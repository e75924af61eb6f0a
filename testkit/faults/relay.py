"""Links between named programs on loopback that break on request: one relay a direction.

A program that speaks to another is given the relay's address for it. Faults of a link:

    cut       streams are reset, new ones refused, datagrams dropped
    one_way   what goes from the caller's side is taken and never arrives; the other direction goes on
    stall     accepts, and reads nothing
    slow      each piece and datagram waits `SLOW_S`
    lose, double, reorder   of datagrams, by the seeded chance; reorder holds one back behind the next
    torn      the next piece of each stream is cut in half and the stream is reset
    heal      all of it ends
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
"""`SO_LINGER` with which a close resets the stream."""
MAX_READ_BYTES = 65_536
CONNECT_TIMEOUT_S = 1.0
CLOSE_DELAY_S = 0.05
"""The other direction of a stream gets this time to end before both sockets are closed."""
PORT_ATTEMPTS = 100
LISTEN_BACKLOG = 16
SEEDS_PER_CLUSTER = 1000


def listen_for_both() -> tuple[socket.socket, socket.socket]:
    """Return a listener and a datagram socket at one port.

    Raises:
        RuntimeError: none was found; the system may have given the port to some sender of datagrams.
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
    raise RuntimeError("no free port")


class Link:
    """From one program to another: streams that the first opens, datagrams that it sends."""

    def __init__(self, source: str, target: str, to: tuple[str, int], seed: int) -> None:
        """Listen and relay from now on.

        Args:
            source: the program that connects and sends.
            target: the other program.
            to: its address.
            seed: determines which datagrams are lost.
        """
        self.source = source
        self.target = target
        self.to = to
        self.chance = random.Random(seed)
        self.faults: set[str] = set()
        self.met: dict[str, int] = {}
        """How often each fault met a stream, a piece or a datagram."""
        self.changed = threading.Condition()
        self.streams: list[socket.socket] = []
        self.reordered: bytes | None = None
        self.listener, self.datagrams = listen_for_both()
        self.port: int = self.listener.getsockname()[1]
        self.out = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.running = True
        for act in (self._accept, self._relay_datagrams):
            threading.Thread(target=act, daemon=True).start()

    # -- faults

    def fault(self, kind: str) -> None:
        """Begin a fault, or end all by `heal`."""
        with self.changed:
            if kind == "heal":
                self.faults.clear()
            else:
                self.faults.add(kind)
            self.changed.notify_all()
        if kind == "cut":
            self._reset()

    def _hit(self, kind: str) -> bool:
        """Return whether that fault is on; count where it met something."""
        if kind not in self.faults:
            return False
        self.met[kind] = self.met.get(kind, 0) + 1
        return True

    def _reset(self) -> None:
        streams = self.streams
        self.streams = []
        for sock in streams:
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                sock.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """End the streams and release the port."""
        self.running = False
        self.fault("heal")
        self._reset()
        for sock in (self.listener, self.datagrams, self.out):
            with contextlib.suppress(OSError):
                sock.close()

    # -- streams

    def _accept(self) -> None:
        while self.running:
            try:
                near, _ = self.listener.accept()
            except OSError:
                continue
            try:
                if self._hit("cut"):
                    near.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                    near.close()
                    continue
                far = socket.create_connection(self.to, CONNECT_TIMEOUT_S)
                far.settimeout(None)
            except OSError:
                if not self.running:
                    return
                with contextlib.suppress(OSError):
                    near.close()
                continue
            self.streams += [near, far]
            for source, target, forth in ((near, far, True), (far, near, False)):
                threading.Thread(target=self._relay_stream, args=(source, target, forth), daemon=True).start()

    def _relay_stream(self, source: socket.socket, target: socket.socket, forth: bool) -> None:
        with contextlib.suppress(OSError):
            self._relay_pieces(source, target, forth)
        for sock in (source, target):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            with contextlib.suppress(ValueError):
                self.streams.remove(sock)
        if forth:
            time.sleep(CLOSE_DELAY_S)
            for sock in (source, target):
                sock.close()

    def _relay_pieces(self, source: socket.socket, target: socket.socket, forth: bool) -> None:
        while True:
            self._wait_while_stalled()
            data = source.recv(MAX_READ_BYTES)
            if not data:
                return
            if self._hit("slow"):
                time.sleep(SLOW_S)
            if forth and self._hit("one_way"):
                self._wait_while_one_way()
            if self._hit("torn"):
                target.sendall(data[: len(data) // 2])
                return
            target.sendall(data)

    def _wait_while_stalled(self) -> None:
        with self.changed:
            while self.running and self._hit("stall"):
                self.changed.wait()

    def _wait_while_one_way(self) -> None:
        """As on a network: what was sent stays unacknowledged and arrives if it heals in time."""
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
        if self._hit("cut") or self._hit("one_way") or self._hit("stall"):
            return True
        return "lose" in self.faults and self.chance.random() < LOSS_FRACTION and self._hit("lose")

    def _relay_datagram(self, data: bytes) -> None:
        if self._hit("slow"):
            threading.Timer(SLOW_S, self._send, (data,)).start()
            return
        if "reorder" in self.faults and self.reordered is None:
            self.reordered = data
            return
        self._send(data)
        if self._hit("double"):
            self._send(data)
        if self.reordered is not None:
            self._hit("reorder")
            delayed = self.reordered
            self.reordered = None
            self._send(delayed)

    def _send(self, data: bytes) -> None:
        with contextlib.suppress(OSError):
            self.out.sendto(data, self.to)


class Links:
    """A link in each direction between all pairs of some programs."""

    def __init__(self, programs: dict[str, tuple[str, int]], seed: int) -> None:
        """Create the links between all pairs.

        Args:
            programs: their addresses by name.
            seed: determines what lossy links lose.
        """
        self.links = {
            (source, target): Link(source, target, programs[target], seed * SEEDS_PER_CLUSTER + number)
            for number, (source, target) in enumerate(itertools.permutations(programs, 2))
        }

    def address(self, source: str, target: str) -> str:
        """Return the address at which `source` reaches `target`."""
        return f"127.0.0.1:{self.links[source, target].port}"

    def between(self, side: set[str]) -> list[Link]:
        """Return the links that cross from one side to the other, in both directions."""
        return [link for (source, target), link in self.links.items() if (source in side) != (target in side)]

    def of(self, name: str) -> list[Link]:
        """Return the links from and to a program."""
        return [link for pair, link in self.links.items() if name in pair]

    def fault(self, kind: str, links: Iterable[Link]) -> None:
        """Begin a fault of these links, or end all of theirs by `heal`."""
        for link in links:
            link.fault(kind)

    def heal(self) -> None:
        """End all faults."""
        self.fault("heal", self.links.values())

    def met(self) -> dict[str, int]:
        """Return how often each fault met something."""
        total: dict[str, int] = {}
        for link in self.links.values():
            for kind, count in link.met.items():
                total[kind] = total.get(kind, 0) + count
        return total

    def close(self) -> None:
        """Close all links."""
        for link in self.links.values():
            link.close()
