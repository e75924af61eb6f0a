"""Pauses, resumes and aborts of changes over several agents, from whichever side they come. No I/O.

Each pause has an id of its own; a resume lifts the pauses that its giver had seen and no other, and an abort
is never lifted. So two copies are put together by union, in any order and any number of times (an
observed-remove set; Shapiro and others, 2011), and a resume of a stale record cannot lift a pause that it
did not know of. Every agent obeys what it holds at once, whether or not it sees the one that drives.
"""

from typing import Any

PAUSE, ABORT = "pause", "abort"
MOST = 64  # orders of one change: more is a script that went wrong

Given = dict[str, Any]  # of one change: {"halts": {id: [kind, why]}, "lifted": [ids, in order]}


class RolloutControls:
    """What one agent has heard of orders; `dropped` empties it as changes end."""

    def __init__(self, name: str) -> None:
        self.name, self.by_change = name, {}  # type: str, dict[str, Given]

    def of(self, change: str) -> Given:
        return self.by_change.get(change, {"halts": {}, "lifted": []})

    def halt(self, change: str, kind: str, why: str, mark: str) -> bool:
        """`mark`: what makes its id new on this agent. False where there are too many."""
        given = self.by_change.setdefault(change, {"halts": {}, "lifted": []})
        if len(given["halts"]) >= MOST and kind != ABORT:
            return False
        given["halts"][f"{self.name}.{mark}"] = [kind, why]
        return True

    def lift(self, change: str) -> list[str]:
        """The pauses that are lifted by a resume given here and now."""
        given = self.of(change)
        open_now = [
            id for id, (kind, _) in given["halts"].items() if kind == PAUSE and id not in given["lifted"]
        ]
        if open_now:
            given["lifted"] = sorted({*given["lifted"], *open_now})
        return open_now

    def stands(self, change: str) -> tuple[str, str]:
        """Kind and reason of what holds it up: an abort before a pause; empty for nothing."""
        given = self.of(change)
        halts = sorted(given["halts"].items())
        for id, (kind, why) in halts:
            if kind == ABORT:
                return ABORT, f"{why} ({id.partition('.')[0]})"
        for id, (_, why) in halts:
            if id not in given["lifted"]:
                return PAUSE, f"{why} ({id.partition('.')[0]})"
        return "", ""

    def merge(self, theirs: dict[str, Given], known: set[str]) -> list[str]:
        """The changes about which something new was learnt; `known`: those that there are."""
        news = []
        for change, given in theirs.items():
            if change not in known:
                continue
            mine = self.by_change.setdefault(change, {"halts": {}, "lifted": []})
            halts = {**given["halts"], **mine["halts"]}
            lifted = sorted({*mine["lifted"], *given["lifted"]})
            if halts != mine["halts"] or lifted != mine["lifted"]:
                self.by_change[change] = {"halts": halts, "lifted": lifted}
                news.append(change)
        return news

    def dropped(self, known: set[str]) -> list[str]:
        """Lets go of the changes that are no more, and names them."""
        gone = [change for change in self.by_change if change not in known]
        for change in gone:
            del self.by_change[change]
        return gone
