"""Configurations read anew, beside the thread that waits for signals."""

import threading
from collections.abc import Callable
from typing import Any

import structlog

log = structlog.get_logger()


class ConfigurationReloader:
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
        """`told`: what holds at the start; `renew` gives what holds from now on."""
        self.told, self.renew, self.begin = told, renew, begin
        self.lock, self.wanted, self.at_work = threading.Lock(), False, False

    def ask(self) -> None:
        with self.lock:
            self.wanted = True
            first, self.at_work = not self.at_work, True
        if first:
            self.begin(self.run)
        else:
            log.warning("configuration_waits")

    def run(self) -> None:
        while True:
            with self.lock:
                self.at_work = self.wanted
                self.wanted = False
                if not self.at_work:
                    return
            try:
                self.told = self.renew(self.told)
            except Exception as problem:  # else every later wish would wait for this one for good
                log.error("configuration_refused", problem=f"{type(problem).__name__}: {problem}")
