"""A ledger with a fixed number of slots that slows by script: to a tenth, to nothing, and back."""

import socket
import threading
from typing import Any

from testkit.fakes.schedule import Script
from testkit.fakes.shared_capacity import Shared


class Ledger:
    def __init__(self, slots: int, takes: float, speed: Script, most_waiting: int = 200) -> None:
        """`takes`: ms of a call at full speed; past `most_waiting` in line calls are turned away."""
        self.takes, self.most_waiting = takes, most_waiting
        self.shared = Shared(lambda count, seconds: speed.at(seconds), speed.until_next, self.finished, slots)
        self.done: list[float] = []  # when calls were answered, in seconds from the start
        self.ran: dict[str, int] = {}  # calls that had their effect, by body
        self.given_up = self.turned_away = 0
        self.open: set[Any] = set()  # emptied as calls are answered or given up
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self) -> None:
        while True:
            sock, _ = self.listener.accept()
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.read, args=(sock,), daemon=True).start()

    def read(self, sock: socket.socket) -> None:
        lines, calls = sock.makefile("rb"), set()
        try:
            for line in lines:
                words = line.split()
                entry = (words[1], sock)
                if words[0] == b"OP":
                    entry = (*entry, lines.read(int(words[3]) + 2)[:-2])
                    if len(self.shared.line) >= self.most_waiting:
                        self.turned_away += 1
                        sock.sendall(words[1] + b" WAIT\r\n")
                    else:
                        calls.add(entry)
                        self.open.add(entry)
                        self.shared.add(entry, self.takes)
                else:
                    for entry in [entry for entry in calls if entry[0] == words[1]]:
                        self.give_up(entry, calls)
        except OSError:
            pass
        for entry in list(calls):
            self.give_up(entry, calls)

    def give_up(self, entry: Any, calls: set[Any]) -> None:
        calls.discard(entry)
        if entry in self.open:
            self.open.discard(entry)
            self.given_up += 1
        self.shared.drop(entry)

    def finished(self, entry: Any) -> None:
        name, sock, body = entry
        self.open.discard(entry)
        self.done.append(self.shared.at - self.shared.began)
        self.ran[body.decode()] = self.ran.get(body.decode(), 0) + 1
        try:
            sock.sendall(b"%b DONE 2\r\nok\r\n" % name)
        except OSError:
            self.given_up += 1


def serve(pipe: Any, slots: int, takes: float, speed: list[tuple[float, float]]) -> None:
    ledger = Ledger(slots, takes, Script(speed))
    pipe.send(ledger.listener.getsockname()[1])
    while (told := pipe.recv()) is not None:
        ledger.shared.began = told
    pipe.send(
        {
            "done": ledger.done,
            "ran": ledger.ran,
            "turned_away": ledger.turned_away,
            "given_up": ledger.given_up,
        }
    )
