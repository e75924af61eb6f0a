"""Rules for changing the members of the fleet. No I/O; times in ms.

Members are admitted and dismissed only at an operator's request, in the order of the record; an agent that is
silent stays a member.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import TypeVar

from vetchford.fleet.fleet_record import UNFINISHED_STEPS, FleetRecord, StepState, agent_of
from vetchford.fleet.rollout import RefusedError

# Time without a report after which an agent with steps in progress may be dismissed; longer than
# `order_guard.MAX_ORDER_AGE_MS`, so that the agent carries out no order after its dismissal.
DISMISSAL_SILENCE_MS = 5000.0
MAX_LOG_ENTRIES = 50  # changes of members and voters kept in the record


Value = TypeVar("Value")


class MemberAction(StrEnum):
    """Change of one member; the values are stored in the record's log."""

    ADMIT = "admit"
    DISMISS = "dismiss"


VOTER_LISTED = "voter"  # action in the record's log: a voter's store identity was listed


@dataclass(frozen=True, slots=True)
class MemberChange:
    """A queued admission or dismissal of an agent, requested by `operator`."""

    action: MemberAction
    name: str
    operator: str


def check_admission(record: FleetRecord, name: str) -> None:
    """Raise RefusedError if an agent is a member already."""
    if name in record.members:
        raise RefusedError(f"{name} is already a member of the fleet")


def check_dismissal(record: FleetRecord, name: str, leader: str, silence_ms: float) -> None:
    """Raise RefusedError if an agent is no member, leads, or may still take instances out of service.

    `silence_ms`: time since the leader requested the newest report of the agent, or since it began to lead.
    The dismissal fails the agent's unfinished steps, so the agent must have been silent for longer than the
    age up to which it accepts an order.
    """
    if name not in record.members:
        raise RefusedError(f"{name} is not a member of the fleet")
    if name == leader:
        raise RefusedError(
            f"{name} leads the fleet: stop its agent, and repeat this once another agent leads"
        )
    if has_steps_in_progress(record, name) and silence_ms < DISMISSAL_SILENCE_MS:
        raise RefusedError(
            f"{name} has reported recently and has instances out of service: let them return to service, "
            f"or stop its agent and repeat this after {DISMISSAL_SILENCE_MS / 1000:g} s of silence; "
            "its steps in progress then count as failed"
        )


def has_steps_in_progress(record: FleetRecord, agent: str) -> bool:
    """Return whether instances of an agent may be out of service."""
    return any(
        step == StepState.IN_PROGRESS and agent_of(key) == agent
        for rollout in record.unfinished()
        for key, step in rollout.steps.items()
    )


def apply_member_change(proposal: FleetRecord, change: MemberChange) -> None:
    """Admit or dismiss one agent in a record that is about to be proposed."""
    if change.action == MemberAction.ADMIT:
        proposal.members = {**proposal.members, change.name: len(proposal.log) + 1}
    else:
        proposal.members = without_entry(proposal.members, change.name)
        proposal.voters = without_entry(proposal.voters, change.name)
        fail_steps_of(proposal, change.name)
    add_log_entry(proposal, change.action, change.name, change.operator)


def fail_steps_of(proposal: FleetRecord, agent: str) -> None:
    """Mark the unfinished steps of a dismissed agent as failed."""
    for rollout in proposal.unfinished():
        for key, step in rollout.steps.items():
            if agent_of(key) == agent and step in UNFINISHED_STEPS:
                rollout.steps[key] = StepState.FAILED


def list_voter(proposal: FleetRecord, name: str, store: str) -> None:
    """List a voter with the identity of its store, so that its votes count."""
    proposal.voters = {**proposal.voters, name: store}
    add_log_entry(proposal, VOTER_LISTED, name, "its store holds the newest record")


def add_log_entry(proposal: FleetRecord, action: str, name: str, cause: str) -> None:
    """Log a change of members or voters, and drop the oldest entries; `cause`: operator or reason."""
    proposal.log = [*proposal.log, [str(action), name, cause]][-MAX_LOG_ENTRIES:]


def without_entry(entries: Mapping[str, Value], name: str) -> dict[str, Value]:
    """Return a copy of `entries` without one name."""
    return {key: value for key, value in entries.items() if key != name}
