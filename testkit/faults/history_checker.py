"""Checks the history of a fleet against its invariants, without knowledge of how agents decide."""

from collections.abc import Iterable
from typing import Any

DETECTION_TIME_S = 4.0
"""After this time the leader must know of a failed instance: the age of a report and of a health check."""


class HistoryChecker:
    """Reads events in the order of their time and collects violations of the invariants."""

    def __init__(self, minimum_available: int) -> None:
        """Begin with no event.

        Args:
            minimum_available: the instances that a rollout must leave serving.
        """
        self.minimum_available = minimum_available
        self.violations: list[str] = []
        self.newest_terms: dict[str, int] = {}
        self.leaders: dict[int, str] = {}
        self.serving: set[str] = set()
        self.failed_at: list[float] = []

    def on_event(self, event: dict[str, Any]) -> None:
        """Take the next event."""
        kind = event["event"]
        if kind == "leader_elected":
            self._leader_elected(event)
        elif kind == "order_accepted":
            self._order_accepted(event)
        elif kind == "instance_state_changed":
            self._instance_state_changed(event)

    def _leader_elected(self, event: dict[str, Any]) -> None:
        """One leader a term."""
        agent = event.get("agent", "")
        if self.leaders.setdefault(event["term"], agent) != agent:
            self.violations.append(f"two leaders in term {event['term']}")

    def _order_accepted(self, event: dict[str, Any]) -> None:
        """Fencing: an agent obeys no order of a term before the newest it knows, nor of another's term."""
        agent = event.get("agent", "")
        term = event["term"]
        leader = event["driver"]
        newest_term = self.newest_terms.get(agent, 0)
        if term < newest_term:
            self.violations.append(f"{agent} obeyed term {term} after {newest_term}")
        self.newest_terms[agent] = max(term, newest_term)
        if self.leaders.get(term, leader) != leader:
            self.violations.append(f"an order of {leader} under another's term {term}")

    def _instance_state_changed(self, event: dict[str, Any]) -> None:
        """Minimum available: no rollout takes an instance out where too few others serve."""
        instance = f"{event['instance']}@{event.get('agent', '')}"
        state = event["now"]
        if state == "serving":
            self.serving.add(instance)
        elif instance not in self.serving:
            return
        elif state == "draining":
            self.serving.discard(instance)
            self._check_minimum(instance, event)
        elif event["why"] != "adopted":
            self.serving.discard(instance)
            self.failed_at.append(event["at"])

    def _check_minimum(self, instance: str, event: dict[str, Any]) -> None:
        undetected = sum(event["at"] - at <= DETECTION_TIME_S for at in self.failed_at)
        available = len(self.serving)
        if "change" in event["why"] and available + undetected < self.minimum_available:
            self.violations.append(
                f"{instance} taken out with {available} others serving, "
                f"minimum {self.minimum_available}: {event['why']}"
            )


def violations(events: Iterable[dict[str, Any]], minimum_available: int) -> list[str]:
    """Return what the events, in order of time, show against fencing, leadership and the minimum."""
    checker = HistoryChecker(minimum_available)
    for event in events:
        checker.on_event(event)
    return checker.violations
