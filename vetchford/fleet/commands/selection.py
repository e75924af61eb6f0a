"""Selection of instances by the SELECT arguments of the command line."""

import fnmatch
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from vetchford.fleet.agent_messages import InstanceStatus
from vetchford.fleet.fleet_messages import FleetInstanceStatus
from vetchford.fleet.fleet_record import split_instance_key


@dataclass(frozen=True, slots=True)
class Candidate:
    """An instance that may be selected."""

    key: str  # the name, or NAME@AGENT in a fleet
    name: str
    agent: str | None  # None for a command to one agent
    group: str
    labels: list[str]

    def matches(self, selector: str) -> bool:
        """Return whether a SELECT argument selects this instance."""
        kind, _, value = selector.partition("=")
        return (
            selector == "all"
            or (kind == "agent" and self.agent == value)
            or (kind == "group" and self.group == value)
            or (kind == "label" and value in self.labels)
            or fnmatch.fnmatchcase(self.key if "@" in selector else self.name, selector)
        )


def select(candidates: Iterable[Candidate], selectors: list[str]) -> list[str]:
    """Return the keys of the candidates that any SELECT argument selects."""
    return [
        candidate.key
        for candidate in candidates
        if any(candidate.matches(selector) for selector in selectors)
    ]


def select_of_agent(instances: Iterable[InstanceStatus], selectors: list[str]) -> list[str]:
    """Return the names of the selected instances of one agent."""
    candidates = (
        Candidate(instance.name, instance.name, None, instance.group, instance.labels)
        for instance in instances
    )
    return select(candidates, selectors)


def select_of_fleet(instances: Mapping[str, FleetInstanceStatus], selectors: list[str]) -> list[str]:
    """Return the keys (NAME@AGENT) of the selected instances of a fleet."""
    candidates = []
    for key, instance in instances.items():
        name, agent = split_instance_key(key)
        candidates.append(Candidate(key, name, agent, instance.group, instance.labels))
    return select(candidates, selectors)
