"""What the leader has seen of the fleet's instances: the newest report of each agent. No I/O; times in ms.

Only reports that were asked for a short while ago prove anything; an instance that is not seen counts as not
serving. The agent's thread alone calls it.
"""

from collections.abc import Container, Iterable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, NamedTuple, TypedDict

from vetchford.fleet.fleet_record import split_instance_key

MAX_REPORT_AGE_MS = 2000.0  # since it was asked for: eight polls; an older report proves nothing
NEVER = -1e12  # ms: before any time of the clock


class InstanceReport(TypedDict):
    """One instance, in the words of the agents' reports."""

    state: str
    unseen: bool  # its process was not checked yet
    group: str
    version: str
    declared: str  # the version of the settings
    wanted: bool
    change: str  # the id of the local rollout that it is in, or empty


class AgentReport(TypedDict):
    """What an agent reports."""

    instances: dict[str, InstanceReport]
    locals: dict[str, list[Any]]  # by attempt id: what became of it, see `AttemptResult`
    versions: list[str]  # those that it has a command for


class AttemptState(StrEnum):
    """The state of a local rollout that an agent made of one step, in the words of its report."""

    RUNNING = "running"
    REVERTING = "back"
    PAUSED = "paused"  # its store failed
    SUCCEEDED = "finished"


class AttemptResult(NamedTuple):
    """What became of a local rollout that an agent made of one step."""

    state: str
    reason: str
    killed: list[str]

    def is_going_on(self) -> bool:
        """Not ended; one that is paused is ordered again, which resumes it."""
        return self.state in (AttemptState.RUNNING, AttemptState.REVERTING, AttemptState.PAUSED)


def empty_report() -> AgentReport:
    """The report of an agent that has sent none."""
    return {"instances": {}, "locals": {}, "versions": []}


@dataclass(slots=True)
class AgentView:
    """What one agent reported last, and what it was ordered."""

    requested_at_ms: float = NEVER  # when the newest report that came was asked for
    number: int = 0
    report: AgentReport = field(default_factory=empty_report)
    polled_at_ms: float = NEVER
    ordered_at_ms: dict[str, float] = field(default_factory=dict)  # by attempt id; removed as attempts end

    def result(self, attempt_id: str) -> AttemptResult | None:
        """What became of an attempt; None where the agent has not begun it."""
        reported = self.report["locals"].get(attempt_id)
        return AttemptResult(*reported[:3]) if reported else None


class FleetView:
    """The reports of all members."""

    def __init__(self, members: Iterable[str]) -> None:
        """No member has reported yet."""
        self.agents = {agent: AgentView() for agent in members}

    def agent(self, name: str) -> AgentView:
        """The view of a member, which may be a new one."""
        return self.agents.setdefault(name, AgentView())

    def forget_all_but(self, members: Container[str]) -> None:
        """Drops agents that are no members any more."""
        for agent in [agent for agent in self.agents if agent not in members]:
            del self.agents[agent]

    def is_fresh(self, now_ms: float, agent: str) -> bool:
        """Whether the newest report of an agent still proves something."""
        return agent in self.agents and now_ms - self.agents[agent].requested_at_ms <= MAX_REPORT_AGE_MS

    def instance(self, key: str) -> InstanceReport | None:
        """One instance as it was reported last, however long ago."""
        name, agent = split_instance_key(key)
        return self.agents[agent].report["instances"].get(name) if agent in self.agents else None

    def fresh_instances(self, now_ms: float) -> dict[str, InstanceReport]:
        """The instances of all agents with a fresh report, by key."""
        return {
            f"{name}@{agent}": instance
            for agent, view in sorted(self.agents.items())
            if self.is_fresh(now_ms, agent)
            for name, instance in view.report["instances"].items()
        }
