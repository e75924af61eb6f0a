"""The signals of a server, held from its first line on and taken where it waits for them."""

import signal
import threading
from collections.abc import Callable
from typing import Any

SIGNALS = {signal.SIGTERM, signal.SIGINT, signal.SIGHUP}


def hold_signals() -> None:
    """Before any thread begins: through one that doesn't hold them a second signal would end the program."""
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)


def until_told_to_leave(renew: Callable[[], None]) -> int:
    """Waits; `renew` on each SIGHUP. Returns the signal that asks to leave."""
    while (caught := signal.sigwait(SIGNALS)) == signal.SIGHUP:
        renew()
    return int(caught)


def heed_for_good(renew: Callable[[], None]) -> None:
    """During a drain addresses may move as well; a further wish to leave changes nothing."""
    while True:
        until_told_to_leave(renew)


class Renewals:
    """Takes the configuration anew, one time after the other, on a thread that lives as long as that takes.

    A file that is slow to read must not hold up whoever waits for signals: a SIGTERM behind it would lose
    that time of its stop.
    """

    def __init__(
        self,
        told: dict[str, Any],
        renew: Callable[[dict[str, Any]], dict[str, Any]],
        begin: Callable[[Callable[[], None]], None],
    ) -> None:
        """`told`: what holds at the start; `renew` gives what holds from now on, and raises nothing."""
        self.told, self.renew, self.begin = told, renew, begin
        self.lock, self.wanted, self.at_work = threading.Lock(), False, False

    def ask(self) -> None:
        with self.lock:
            self.wanted = True
            first, self.at_work = not self.at_work, True
        if first:
            self.begin(self.run)

    def run(self) -> None:
        while True:
            with self.lock:
                self.at_work = self.wanted
                self.wanted = False
                if not self.at_work:
                    return
            self.told = self.renew(self.told)
