"""The leader's view of the fleet's instances: the newest report of each agent. No I/O; times in ms.

Decisions rest only on reports that were requested recently; an instance without a fresh report counts as not
serving. Used by the agent's thread only.
"""

from collections.abc import Container, Iterable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, NamedTuple, TypedDict

from vetchford.fleet.fleet_record import split_instance_key

MAX_REPORT_AGE_MS = 2000.0  # since the report was requested; eight polls
NEVER_MS = -1e12  # ms, before any time of the monotonic clock


class InstanceReport(TypedDict):
    """One instance in an agent's report; the keys are those on the wire."""

    state: str
    unseen: bool  # no health check of its process has finished yet
    group: str
    version: str
    declared: str  # the version in the agent's settings
    wanted: bool
    change: str  # id of its active local rollout; empty if there is none


class AgentReport(TypedDict):
    """An agent's report to the leader; the keys are those on the wire."""

    instances: dict[str, InstanceReport]
    locals: dict[str, list[Any]]  # values of an `AttemptResult` by attempt id
    versions: list[str]  # versions for which the agent has a command


class AttemptState(StrEnum):
    """The state of an attempt: the local rollout in which an agent carries out one step."""

    RUNNING = "running"
    ROLLING_BACK = "back"
    PAUSED = "paused"  # the agent's store failed
    SUCCEEDED = "finished"


class AttemptResult(NamedTuple):
    """The result of an attempt as reported by its agent."""

    state: str
    reason: str
    killed: list[str]

    def is_unfinished(self) -> bool:
        """Return whether the attempt has not ended; a paused one is ordered again, which resumes it."""
        return self.state in (AttemptState.RUNNING, AttemptState.ROLLING_BACK, AttemptState.PAUSED)


def empty_report() -> AgentReport:
    """Return the report that stands for an agent that has sent none."""
    return {"instances": {}, "locals": {}, "versions": []}


@dataclass(slots=True)
class AgentView:
    """The newest report of one agent, and the orders sent to it."""

    requested_at_ms: float = NEVER_MS  # when the newest received report was requested
    number: int = 0
    report: AgentReport = field(default_factory=empty_report)
    polled_at_ms: float = NEVER_MS
    ordered_at_ms: dict[str, float] = field(default_factory=dict)  # by attempt id; removed at its end

    def result(self, attempt_id: str) -> AttemptResult | None:
        """Return the result of an attempt; None if the agent has not started it."""
        values = self.report["locals"].get(attempt_id)
        return AttemptResult(*values[:3]) if values else None


class FleetView:
    """The newest reports of all members."""

    def __init__(self, members: Iterable[str]) -> None:
        """Start without a report from any member."""
        self.agents = {agent: AgentView() for agent in members}

    def agent(self, name: str) -> AgentView:
        """Return the view of a member; create it for a new member."""
        return self.agents.setdefault(name, AgentView())

    def discard_all_except(self, members: Container[str]) -> None:
        """Remove the agents that are no longer members."""
        for agent in [agent for agent in self.agents if agent not in members]:
            del self.agents[agent]

    def is_fresh(self, now_ms: float, agent: str) -> bool:
        """Return whether the newest report of an agent is recent enough to decide on."""
        return agent in self.agents and now_ms - self.agents[agent].requested_at_ms <= MAX_REPORT_AGE_MS

    def instance(self, key: str) -> InstanceReport | None:
        """Return the last report of an instance, however old; None if there is none."""
        name, agent = split_instance_key(key)
        return self.agents[agent].report["instances"].get(name) if agent in self.agents else None

    def fresh_instances(self, now_ms: float) -> dict[str, InstanceReport]:
        """Return the instances of all agents with a fresh report, by key."""
        return {
            f"{name}@{agent}": instance
            for agent, view in sorted(self.agents.items())
            if self.is_fresh(now_ms, agent)
            for name, instance in view.report["instances"].items()
        }
