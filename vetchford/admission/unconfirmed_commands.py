"""When a run is given up whose last command may have been lost with the link to the worker pool."""

import math
from typing import NamedTuple

from vetchford.admission.health import Health


class GiveUp(NamedTuple):
    """When a run is given up, and whether its slot must be freed then."""

    at_ms: float
    may_never_end: bool
    """Whether the run's start was lost, so that no end may ever be reported."""


class UnconfirmedCommands:
    """Watches the runs whose last command may have been lost, until they report or are given up.

    The command is not sent again: had the first one arrived, a second start could run the request twice, and
    a second reply could be taken for the reply to a later call. So a run that reports nothing for as long as
    a run may go without progress is given up, and all of them are once no run makes progress: the slots that
    they hold must not make the server count as stalled. Entries are removed by `run_reported` and
    `take_overdue`.
    """

    def __init__(self, health: Health) -> None:
        """Start without entries; `health` tells how long a run may go without progress."""
        self.health = health
        self.give_ups: dict[int, GiveUp] = {}
        """By request index."""

    def watch_start(self, now_ms: float, index: int) -> None:
        """Watch a run that may never have started."""
        self._watch(now_ms, index, may_never_end=True)

    def watch_reply(self, now_ms: float, index: int) -> None:
        """Watch a run that may still wait for the reply to its call; it ends once its request is answered."""
        self._watch(now_ms, index, may_never_end=False)

    def _watch(self, now_ms: float, index: int, may_never_end: bool) -> None:
        self.give_ups[index] = GiveUp(now_ms + self.health.stall_after_ms(), may_never_end)

    def run_reported(self, index: int) -> None:
        """Note that the run is blocked or has ended, so that its last command did arrive."""
        self.give_ups.pop(index, None)

    def take_overdue(self, now_ms: float) -> list[tuple[int, GiveUp]]:
        """Remove and return, with their request indices, the entries whose time has come.

        Called in each tick, before the health of the server is updated.
        """
        if not self.give_ups:
            return []
        until_ms = math.inf if self.health.makes_no_progress(now_ms) else now_ms
        overdue = [(index, give_up) for index, give_up in self.give_ups.items() if give_up.at_ms <= until_ms]
        for index, _ in overdue:
            del self.give_ups[index]
        return overdue
