"""Checker of a fleet's history against its invariants; independent of the implementation of agents."""

from collections.abc import Iterable
from typing import Any

DETECTION_TIME_S = 4.0
"""Time within which the leader must know of a failed instance: age of a report plus age of a health check."""


class HistoryChecker:
    """Reads events in order of time and collects violations of the invariants."""

    def __init__(self, minimum_available: int) -> None:
        """Create a checker that has read no event.

        Args:
            minimum_available: number of instances that a rollout must leave serving.
        """
        self.minimum_available = minimum_available
        self.violations: list[str] = []
        self.newest_terms: dict[str, int] = {}
        self.leaders: dict[int, str] = {}
        self.serving: set[str] = set()
        self.failed_at: list[float] = []

    def on_event(self, event: dict[str, Any]) -> None:
        """Check the next event."""
        kind = event["event"]
        if kind == "leader_elected":
            self._leader_elected(event)
        elif kind == "order_accepted":
            self._order_accepted(event)
        elif kind == "instance_state_changed":
            self._instance_state_changed(event)

    def _leader_elected(self, event: dict[str, Any]) -> None:
        """Check that each term has at most one leader."""
        agent = event.get("agent", "")
        if self.leaders.setdefault(event["term"], agent) != agent:
            self.violations.append(f"two leaders in term {event['term']}")

    def _order_accepted(self, event: dict[str, Any]) -> None:
        """Check fencing: agents accept no order of an older term or of an agent that does not lead."""
        agent = event.get("agent", "")
        term = event["term"]
        leader = event["driver"]
        newest_term = self.newest_terms.get(agent, 0)
        if term < newest_term:
            self.violations.append(
                f"{agent} accepted an order of term {term} after one of term {newest_term}"
            )
        self.newest_terms[agent] = max(term, newest_term)
        if self.leaders.get(term, leader) != leader:
            self.violations.append(
                f"{agent} accepted an order of {leader} in term {term}, which {self.leaders[term]} leads"
            )

    def _instance_state_changed(self, event: dict[str, Any]) -> None:
        """Check the minimum: no rollout drains an instance while too few others serve."""
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
                f"{instance} was drained with {available} others serving, "
                f"minimum {self.minimum_available}: {event['why']}"
            )


def violations(events: Iterable[dict[str, Any]], minimum_available: int) -> list[str]:
    """Return the violations of fencing, leadership and the minimum in events that are in order of time."""
    checker = HistoryChecker(minimum_available)
    for event in events:
        checker.on_event(event)
    return checker.violations
