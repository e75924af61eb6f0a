"""Links between named programs on loopback that break by order: streams and datagrams through one relay a
direction.

A program that speaks to another is given the relay's address for it. Faults of a link:

    cut       streams are reset, new ones refused, datagrams dropped
    one_way   what goes from the caller's side is taken and never arrives; the other direction goes on
    stall     accepts, and reads nothing
    slow      each piece and datagram waits `SLOW` seconds
    lose, double, reorder   of datagrams, by the seeded chance; reorder holds one back behind the next
    torn      the next piece of each stream is cut in half and the stream is reset
    heal      all of it ends
"""

import contextlib
import random
import socket
import struct
import threading
import time

SLOW, LOSS = 0.25, 0.3
FAULTS = ("cut", "one_way", "stall", "slow", "lose", "double", "reorder", "torn")
RESET = struct.pack("ii", 1, 0)


def both_ways() -> tuple[socket.socket, socket.socket]:
    """A listener and datagrams at one port; the system may have given it to some sender of datagrams."""
    for _ in range(100):
        listener = socket.create_server(("127.0.0.1", 0), backlog=16)
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
        self.source, self.target, self.to = source, target, to
        self.chance, self.faults, self.met = random.Random(seed), set(), {}
        self.changed, self.streams, self.held = threading.Condition(), [], None
        self.listener, self.datagrams = both_ways()
        self.port = self.listener.getsockname()[1]
        self.out = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.running = True
        for act in (self.accept, self.pass_datagrams):
            threading.Thread(target=act, daemon=True).start()

    # -- faults

    def fault(self, kind: str) -> None:
        with self.changed:
            if kind == "heal":
                self.faults.clear()
            else:
                self.faults.add(kind)
            self.changed.notify_all()
        if kind == "cut":
            self.reset()

    def hit(self, kind: str) -> bool:
        """Whether that fault is on; counts where it really met something."""
        if kind not in self.faults:
            return False
        self.met[kind] = self.met.get(kind, 0) + 1
        return True

    def reset(self) -> None:
        streams, self.streams = self.streams, []
        for sock in streams:
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                sock.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        self.running = False
        self.fault("heal")
        self.reset()
        for sock in (self.listener, self.datagrams, self.out):
            with contextlib.suppress(OSError):
                sock.close()

    # -- streams

    def accept(self) -> None:
        while self.running:
            try:
                near, _ = self.listener.accept()
                if self.hit("cut"):
                    near.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                    near.close()
                    continue
                far = socket.create_connection(self.to, 1.0)
                far.settimeout(None)
            except OSError:
                if not self.running:
                    return
                with contextlib.suppress(OSError, UnboundLocalError):
                    near.close()
                continue
            self.streams += [near, far]
            for pair, forth in (((near, far), True), ((far, near), False)):
                threading.Thread(target=self.carry, args=(*pair, forth), daemon=True).start()

    def carry(self, source: socket.socket, target: socket.socket, forth: bool) -> None:
        try:
            while True:
                with self.changed:
                    while self.running and "stall" in self.faults and self.hit("stall"):
                        self.changed.wait()
                data = source.recv(65536)
                if not data:
                    break
                if self.hit("slow"):
                    time.sleep(SLOW)
                if forth and self.hit("one_way"):
                    # As on a network: what was sent stays unacknowledged and arrives if it heals in time.
                    with self.changed:
                        while self.running and "one_way" in self.faults:
                            self.changed.wait()
                if self.hit("torn"):
                    target.sendall(data[: len(data) // 2])
                    break
                target.sendall(data)
        except OSError:
            pass
        for sock in (source, target):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            if sock in self.streams:
                with contextlib.suppress(ValueError):
                    self.streams.remove(sock)
        if forth:
            time.sleep(0.05)
            for sock in (source, target):
                sock.close()

    # -- datagrams

    def pass_datagrams(self) -> None:
        while self.running:
            try:
                data = self.datagrams.recv(65536)
            except OSError:
                if not self.running:
                    return
                continue
            if self.hit("cut") or self.hit("one_way") or self.hit("stall"):
                continue
            if "lose" in self.faults and self.chance.random() < LOSS and self.hit("lose"):
                continue
            if "slow" in self.faults and self.hit("slow"):
                threading.Timer(SLOW, self.give, (data,)).start()
                continue
            if "reorder" in self.faults and self.held is None:
                self.held = data
                continue
            self.give(data)
            if "double" in self.faults and self.hit("double"):
                self.give(data)
            if self.held is not None:
                self.hit("reorder")
                held, self.held = self.held, None
                self.give(held)

    def give(self, data: bytes) -> None:
        with contextlib.suppress(OSError):
            self.out.sendto(data, self.to)


class Links:
    """One of each direction between all pairs of some programs: {name: (host, port)}."""

    def __init__(self, programs: dict[str, tuple[str, int]], seed: int) -> None:
        self.links = {
            (a, b): Link(a, b, programs[b], seed * 1000 + at)
            for at, (a, b) in enumerate((a, b) for a in programs for b in programs if a != b)
        }

    def address(self, source: str, target: str) -> str:
        return f"127.0.0.1:{self.links[source, target].port}"

    def between(self, side: set[str]) -> list[Link]:
        """The links that cross from one side to the other, in both directions."""
        return [link for (a, b), link in self.links.items() if (a in side) != (b in side)]

    def of(self, name: str) -> list[Link]:
        return [link for pair, link in self.links.items() if name in pair]

    def fault(self, kind: str, links: list[Link]) -> None:
        for link in links:
            link.fault(kind)

    def heal(self) -> None:
        self.fault("heal", list(self.links.values()))

    def met(self) -> dict[str, int]:
        """How often each fault met something."""
        out: dict[str, int] = {}
        for link in self.links.values():
            for kind, count in link.met.items():
                out[kind] = out.get(kind, 0) + count
        return out

    def close(self) -> None:
        for link in self.links.values():
            link.close()
