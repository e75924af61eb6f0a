"""Which instances the words SELECT of the command line name."""

import fnmatch
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from vetchford.fleet.agent_messages import InstanceStatus
from vetchford.fleet.fleet_messages import FleetInstanceStatus
from vetchford.fleet.fleet_record import split_instance_key


@dataclass(frozen=True, slots=True)
class Candidate:
    """An instance that may be selected."""

    key: str  # what is returned: the name, or NAME@AGENT in a fleet
    name: str
    agent: str | None  # None: only one agent is asked
    group: str
    labels: list[str]

    def matches(self, word: str) -> bool:
        """Return whether one word of SELECT names this instance."""
        kind, _, value = word.partition("=")
        return (
            word == "all"
            or (kind == "agent" and self.agent == value)
            or (kind == "group" and self.group == value)
            or (kind == "label" and value in self.labels)
            or fnmatch.fnmatchcase(self.key if "@" in word else self.name, word)
        )


def select(candidates: Iterable[Candidate], words: list[str]) -> list[str]:
    """Return the keys of those that any of the words names."""
    return [one.key for one in candidates if any(one.matches(word) for word in words)]


def select_of_agent(instances: Iterable[InstanceStatus], words: list[str]) -> list[str]:
    """Return names from the status of one agent."""
    candidates = (Candidate(one.name, one.name, None, one.group, one.labels) for one in instances)
    return select(candidates, words)


def select_of_fleet(instances: Mapping[str, FleetInstanceStatus], words: list[str]) -> list[str]:
    """Return keys of the form NAME@AGENT from the status of a fleet."""
    candidates = []
    for key, one in instances.items():
        name, agent = split_instance_key(key)
        candidates.append(Candidate(key, name, agent, one.group, one.labels))
    return select(candidates, words)
