"""What one agent knows of all others, and how news of it spreads. No I/O; times in ms.

The dissemination component of SWIM (Das, Gupta, Motivala, 2002): each agent numbers its own incarnations; of
two updates of an agent the one of the higher incarnation wins, and within one the worse state. Updates ride
on the messages of the failure detector.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from enum import StrEnum
from typing import Protocol

from vetchford.fleet.membership_updates import MembershipUpdate, UpdateQueue

SENDS_PER_UPDATE = 3.0  # times `group_scale`: all get an update but one in some thousands
MAX_UPDATES = 8  # on one message: under a datagram's 1,400 bytes with names of 64


class MemberState(StrEnum):
    """What is known of an agent, from good to bad; the values are the encoded words."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    UNREACHABLE = "dead"


SEVERITY: dict[str, int] = {state: rank for rank, state in enumerate(MemberState)}


class MembershipActions(Protocol):
    """What the membership tells its owner."""

    def on_state_changed(self, name: str, state: MemberState) -> None:
        """Another agent is seen otherwise than before."""


@dataclass(slots=True)
class Member:
    """What this agent knows of another one."""

    state: MemberState
    incarnation: int
    since_ms: float  # when it came into `state`, by our own clock


UNKNOWN_INCARNATION = -1  # below every one that is sent
NO_MEMBER = Member(
    MemberState.ALIVE, UNKNOWN_INCARNATION, 0.0
)  # before the first update of an agent that is not known yet


class Membership:
    """One agent's view of all others.

    Invariant: of an agent neither the incarnation nor, within one, the severity ever falls, so updates may
    come in any order and any number of times. Only the agent itself begins an incarnation, to refute.
    """

    def __init__(
        self,
        actions: MembershipActions,
        name: str,
        others: Iterable[str],
        incarnation: int,
        fixed: bool,
        now_ms: float,
    ) -> None:
        """`fixed`: only `others` are ever known, none is forgotten, and none is alive before a message."""
        self.actions = actions
        self.name = name
        self.incarnation = incarnation
        self.fixed = fixed
        first = Member(MemberState.ALIVE, 0, 0.0)
        if fixed:
            first = Member(MemberState.SUSPECT, UNKNOWN_INCARNATION, now_ms)
        self.members = {other: replace(first) for other in sorted(others) if other != name}
        self.updates = UpdateQueue()
        self.updates.add(name)

    def restart(self, incarnation: int) -> None:
        """This agent has a new incarnation, which the others are to learn."""
        self.incarnation = incarnation
        self.updates.add(self.name)

    # -- the view

    def group_scale(self) -> float:
        """How suspicion and gossip grow with the number of agents: as its logarithm to base 2."""
        return max(1.0, math.log2(len(self.members) + 1))

    def reachable(self) -> list[str]:
        """The agents that are alive or suspected."""
        return self.in_states(MemberState.ALIVE, MemberState.SUSPECT)

    def in_states(self, *states: MemberState) -> list[str]:
        """The agents in any of these states."""
        return [name for name, member in self.members.items() if member.state in states]

    def state(self, name: str) -> MemberState:
        """The state of an agent; UNREACHABLE for one that is not known."""
        return self.members[name].state if name in self.members else MemberState.UNREACHABLE

    # -- updates

    def apply_update(self, now_ms: float, update: MembershipUpdate) -> None:
        """The higher incarnation wins, and within one the worse state.

        KeyError or ValueError for a state that is none.
        """
        name, state, incarnation = update
        if name == self.name:
            self.refute(state, incarnation)
            return
        if name not in self.members and (state == MemberState.UNREACHABLE or self.fixed):
            return
        member = self.members.get(name, NO_MEMBER)
        if incarnation < member.incarnation:
            return
        if incarnation == member.incarnation and not is_worse(state, member.state):
            return
        is_changed = name not in self.members or state != member.state
        since_ms = now_ms if is_changed else member.since_ms
        self.members[name] = Member(MemberState(state), incarnation, since_ms)
        self.updates.add(name)
        if is_changed:
            self.actions.on_state_changed(name, self.members[name].state)

    def refute(self, state: str, incarnation: int) -> None:
        """Denies what others say of this agent by a higher incarnation."""
        if state != MemberState.ALIVE and incarnation >= self.incarnation:
            self.restart(incarnation + 1)

    def piggyback(self, to: str) -> list[MembershipUpdate]:
        """The updates for one message: what concerns its receiver, then those that were sent least often."""
        updates: list[MembershipUpdate] = []
        receiver = self.members.get(to)
        if receiver is not None and receiver.state != MemberState.ALIVE:
            updates.append((to, receiver.state, receiver.incarnation))
        max_sends = math.ceil(SENDS_PER_UPDATE * self.group_scale())
        for name in self.updates.take(MAX_UPDATES, max_sends):
            if name == self.name:
                updates.append((name, MemberState.ALIVE, self.incarnation))
            elif name in self.members and name != to:
                member = self.members[name]
                updates.append((name, member.state, member.incarnation))
        return updates

    def forget(self, name: str) -> None:
        """Drops an agent that was unreachable for long; it may come back as a new one."""
        del self.members[name]
        self.updates.remove(name)


def is_worse(state: str, than: MemberState) -> bool:
    """Whether an update in the same incarnation replaces `than`."""
    return SEVERITY[state] > SEVERITY[than]


def describe_unseen(states: Mapping[str, str], needed: Iterable[str]) -> str:
    """Which of the `needed` agents are not seen alive; empty where all are.

    `states`: what this agent knows of each. A fleet rollout waits while agents that it touches are not seen,
    since a minimum that can't be counted can't be kept.
    """
    unseen = [name for name in needed if states.get(name, MemberState.UNREACHABLE) != MemberState.ALIVE]
    return f"not seen: {', '.join(sorted(unseen))}" if unseen else ""
