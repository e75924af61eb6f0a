"""Checker of a simulated fleet's history; independent of the implementation of agents."""

from collections.abc import Iterable
from typing import Any

Event = dict[str, Any]

NOTHING_COMMITTED = (0, 0)


def find_violations(history: Iterable[Event]) -> list[str]:
    """Return the violations of the rules of elections, commits and fencing, one text each."""
    checker = HistoryChecker()
    for entry in history:
        check = getattr(checker, f"on_{entry['event']}", None)
        if check is not None:
            check(entry)
    return checker.violations


class HistoryChecker:
    """Checks history entries in order; each method `on_EVENT` checks the log event of that name."""

    def __init__(self) -> None:
        """Create a checker that has read no entry."""
        self.violations: list[str] = []
        self.leaders: dict[int, str] = {}  # by term
        self.committed: list[tuple[int, int]] = [NOTHING_COMMITTED]
        self.accepted_terms: dict[str, int] = {}  # newest term of an accepted order, by agent

    def on_leader_elected(self, entry: Event) -> None:
        """Check that a term has one leader, which takes over the record committed in lower terms."""
        agent = entry["agent"]
        term = entry["term"]
        if self.leaders.setdefault(term, agent) != agent:
            self.violations.append(f"two leaders in term {term}: {self.leaders[term]} and {agent}")
        before = max(version for version in self.committed if version[0] < term)
        if tuple(entry["took_over"]) < before:
            self.violations.append(f"{agent} took over {entry['took_over']} although {before} was committed")

    def on_record_committed(self, entry: Event) -> None:
        """Check that no version is committed after a higher one."""
        version = entry["term"], entry["revision"]
        if version < max(self.committed):
            self.violations.append(f"{entry['agent']} committed {version} after {max(self.committed)}")
        self.committed.append(version)

    def on_order_accepted(self, entry: Event) -> None:
        """Check that agents accept orders of rising terms only, and only of the leader of the term."""
        agent = entry["agent"]
        term = entry["term"]
        if term < self.accepted_terms.get(agent, 0):
            self.violations.append(
                f"{agent} accepted an order of term {term} after one of term {self.accepted_terms[agent]}"
            )
        self.accepted_terms[agent] = term
        if self.leaders.get(term) != entry["driver"]:
            self.violations.append(
                f"{agent} accepted an order of {entry['driver']}, which does not lead term {term}"
            )
