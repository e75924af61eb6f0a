"""What the history of a simulated fleet must not show; uses nothing of the implementation."""

from collections.abc import Iterable
from typing import Any

Event = dict[str, Any]

NOTHING_COMMITTED = (0, 0)


def find_violations(history: Iterable[Event]) -> list[str]:
    """Return what breaches the rules of elections, commits and fencing, one text each."""
    checker = HistoryChecker()
    for entry in history:
        check = getattr(checker, f"on_{entry['event']}", None)
        if check is not None:
            check(entry)
    return checker.violations


class HistoryChecker:
    """Reads the entries in their order; the methods are named after the log events."""

    def __init__(self) -> None:
        """Begin with no entry."""
        self.violations: list[str] = []
        self.leaders: dict[int, str] = {}  # by term
        self.committed: list[tuple[int, int]] = [NOTHING_COMMITTED]
        self.obeyed_terms: dict[str, int] = {}  # the newest by agent

    def on_leader_elected(self, entry: Event) -> None:
        """One leader a term, which takes over whatever was committed in lower terms."""
        agent = entry["agent"]
        term = entry["term"]
        if self.leaders.setdefault(term, agent) != agent:
            self.violations.append(f"two lead in term {term}")
        before = max(version for version in self.committed if version[0] < term)
        if tuple(entry["took_over"]) < before:
            self.violations.append(f"{agent} took over {entry['took_over']}, {before} was committed")

    def on_record_committed(self, entry: Event) -> None:
        """Nothing is committed below what was committed before."""
        version = entry["term"], entry["revision"]
        if version < max(self.committed):
            self.violations.append(
                f"{entry['agent']} wrote in term {entry['term']} after {max(self.committed)}"
            )
        self.committed.append(version)

    def on_order_accepted(self, entry: Event) -> None:
        """No agent obeys a lower term after a higher one, nor anyone but the leader of the term."""
        agent = entry["agent"]
        term = entry["term"]
        if term < self.obeyed_terms.get(agent, 0):
            self.violations.append(f"{agent} obeyed term {term} after {self.obeyed_terms[agent]}")
        self.obeyed_terms[agent] = term
        if self.leaders.get(term) != entry["driver"]:
            self.violations.append(f"an order of {entry['driver']} in another's term")
