"""The rules by which the members of the fleet change. No I/O; times in ms.

Silence changes no list: a member comes and goes because an operator asked for it, in the order of the record.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import TypeVar

from vetchford.fleet.fleet_record import UNFINISHED_STEPS, FleetRecord, StepState, agent_of
from vetchford.fleet.rollout import RefusedError

DISMISSAL_SILENCE_MS = 5000.0  # unseen, until an agent with steps in progress may be dismissed; longer than
# `order_guard.MAX_ORDER_AGE_MS`, so that it carries out no order after that
MAX_LOG_ENTRIES = 50  # changes of members and voters in the record


Value = TypeVar("Value")


class MemberAct(StrEnum):
    """What is done with a member; the values stand in the record's log."""

    ADMIT = "admit"
    DISMISS = "dismiss"


VOTER_LISTED = "voter"  # in the record's log: the store identity of a voter was listed


@dataclass(frozen=True, slots=True)
class MemberChange:
    """A member that waits to be admitted or dismissed, and by whom."""

    act: MemberAct
    name: str
    by: str


def check_admission(record: FleetRecord, name: str) -> None:
    """RefusedError where an agent is a member already."""
    if name in record.members:
        raise RefusedError(f"{name} is a member already")


def check_dismissal(record: FleetRecord, name: str, leader: str, silence_ms: float) -> None:
    """RefusedError where an agent is no member, leads, or may still be taking instances out of service.

    `silence_ms`: how long the agent was not seen. Its steps in progress are given up with it, so it must have
    been silent for longer than any order to it is obeyed.
    """
    if name not in record.members:
        raise RefusedError(f"{name} is no member")
    if name == leader:
        raise RefusedError(f"{name} drives: ask once another does (stop its agent first)")
    if has_steps_in_progress(record, name) and silence_ms < DISMISSAL_SILENCE_MS:
        raise RefusedError(f"{name} is seen and has instances out: let them come back, or stop its agent")


def has_steps_in_progress(record: FleetRecord, agent: str) -> bool:
    """Whether instances of an agent may be out of service."""
    return any(
        step == StepState.IN_PROGRESS and agent_of(key) == agent
        for rollout in record.unfinished()
        for key, step in rollout.steps.items()
    )


def apply_member_change(proposal: FleetRecord, change: MemberChange) -> None:
    """Admits or dismisses one agent in a record that is about to be proposed."""
    if change.act == MemberAct.ADMIT:
        proposal.members = {**proposal.members, change.name: len(proposal.log) + 1}
    else:
        proposal.members = without(proposal.members, change.name)
        proposal.voters = without(proposal.voters, change.name)
        fail_steps_of(proposal, change.name)
    add_log_entry(proposal, change.act, change.name, change.by)


def fail_steps_of(proposal: FleetRecord, agent: str) -> None:
    """Unfinished steps of an agent that is dismissed have failed."""
    for rollout in proposal.unfinished():
        for key, step in rollout.steps.items():
            if agent_of(key) == agent and step in UNFINISHED_STEPS:
                rollout.steps[key] = StepState.FAILED


def list_voter(proposal: FleetRecord, name: str, store: str) -> None:
    """Lists a voter with the identity of its store, so that its votes count."""
    proposal.voters = {**proposal.voters, name: store}
    add_log_entry(proposal, VOTER_LISTED, name, "its store holds the newest record")


def add_log_entry(proposal: FleetRecord, act: str, name: str, by: str) -> None:
    """Notes a change of members or voters; the oldest entries go."""
    proposal.log = [*proposal.log, [str(act), name, by]][-MAX_LOG_ENTRIES:]


def without(entries: Mapping[str, Value], name: str) -> dict[str, Value]:
    """A copy without one name."""
    return {key: value for key, value in entries.items() if key != name}
