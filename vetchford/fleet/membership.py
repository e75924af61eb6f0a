"""One agent's view of the state of all others, and how updates of it spread. No I/O; times in ms.

The dissemination component of SWIM (Das, Gupta, Motivala, 2002): each agent numbers its own incarnations. Of
two updates about an agent the one with the higher incarnation takes precedence, and within an incarnation the
one with the more severe state. Updates are piggybacked on the messages of the failure detector.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from enum import StrEnum
from typing import Protocol

from vetchford.fleet.membership_updates import MembershipUpdate, UpdateQueue

SENDS_PER_UPDATE = 3.0  # times `group_scale`; about one agent in some thousands misses an update
MAX_UPDATES = 8  # on one message; keeps it below the 1,400 bytes of a datagram with names of 64 bytes


class MemberState(StrEnum):
    """State of an agent, from least to most severe; the values are the encoded names."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    UNREACHABLE = "dead"


SEVERITY: dict[str, int] = {state: rank for rank, state in enumerate(MemberState)}


class MembershipActions(Protocol):
    """Notifications to the owner of the membership."""

    def on_state_changed(self, name: str, state: MemberState) -> None:
        """Handle a change of another agent's state."""


@dataclass(slots=True)
class Member:
    """State of another agent as this agent knows it."""

    state: MemberState
    incarnation: int
    since_ms: float  # when `state` began, by our own clock


UNKNOWN_INCARNATION = -1  # below every incarnation that is sent
# The state of an agent before the first update about it.
UNKNOWN_MEMBER = Member(MemberState.ALIVE, UNKNOWN_INCARNATION, 0.0)


class Membership:
    """One agent's view of all others.

    Invariant: neither the incarnation of an agent nor, within an incarnation, its severity ever decreases, so
    updates may arrive in any order and any number of times. Only the agent itself starts a new incarnation,
    which refutes earlier updates.
    """

    def __init__(
        self,
        actions: MembershipActions,
        name: str,
        others: Iterable[str],
        incarnation: int,
        fixed_members: bool,
        now_ms: float,
    ) -> None:
        """Start with `others` alive, or suspected if `fixed_members` is set: see `FailureDetector`."""
        self.actions = actions
        self.name = name
        self.incarnation = incarnation
        self.fixed_members = fixed_members
        initial = Member(MemberState.ALIVE, 0, 0.0)
        if fixed_members:
            initial = Member(MemberState.SUSPECT, UNKNOWN_INCARNATION, now_ms)
        self.members = {other: replace(initial) for other in sorted(others) if other != name}
        self.updates = UpdateQueue()
        self.updates.add(name)

    def start_incarnation(self, incarnation: int) -> None:
        """Start a new incarnation of this agent, and spread it to the others."""
        self.incarnation = incarnation
        self.updates.add(self.name)

    # -- the view

    def group_scale(self) -> float:
        """Return the factor for suspicion and gossip by group size, the base-2 logarithm of the agents."""
        return max(1.0, math.log2(len(self.members) + 1))

    def reachable(self) -> list[str]:
        """Return the agents that are alive or suspected."""
        return self.in_states(MemberState.ALIVE, MemberState.SUSPECT)

    def in_states(self, *states: MemberState) -> list[str]:
        """Return the agents in any of these states."""
        return [name for name, member in self.members.items() if member.state in states]

    def state(self, name: str) -> MemberState:
        """Return the state of an agent; UNREACHABLE for an unknown agent."""
        return self.members[name].state if name in self.members else MemberState.UNREACHABLE

    # -- updates

    def apply_update(self, now_ms: float, update: MembershipUpdate) -> None:
        """Apply an update if its incarnation is higher, or equal with a more severe state.

        Raise KeyError or ValueError for an unknown state.
        """
        name, state, incarnation = update
        if name == self.name:
            self.refute(state, incarnation)
            return
        if name not in self.members and (state == MemberState.UNREACHABLE or self.fixed_members):
            return
        member = self.members.get(name, UNKNOWN_MEMBER)
        if incarnation < member.incarnation:
            return
        if incarnation == member.incarnation and not is_more_severe(state, member.state):
            return
        is_changed = name not in self.members or state != member.state
        since_ms = now_ms if is_changed else member.since_ms
        self.members[name] = Member(MemberState(state), incarnation, since_ms)
        self.updates.add(name)
        if is_changed:
            self.actions.on_state_changed(name, self.members[name].state)

    def refute(self, state: str, incarnation: int) -> None:
        """Refute an update that this agent is not alive by starting a higher incarnation."""
        if state != MemberState.ALIVE and incarnation >= self.incarnation:
            self.start_incarnation(incarnation + 1)

    def piggyback(self, to: str) -> list[MembershipUpdate]:
        """Return the updates for one message: that about its receiver, then those sent least often."""
        updates: list[MembershipUpdate] = []
        receiver = self.members.get(to)
        if receiver is not None and receiver.state != MemberState.ALIVE:
            updates.append((to, receiver.state, receiver.incarnation))
        max_sends = math.ceil(SENDS_PER_UPDATE * self.group_scale())
        for name in self.updates.take_next(MAX_UPDATES, max_sends):
            if name == self.name:
                updates.append((name, MemberState.ALIVE, self.incarnation))
            elif name in self.members and name != to:
                member = self.members[name]
                updates.append((name, member.state, member.incarnation))
        return updates

    def forget(self, name: str) -> None:
        """Drop an agent that was unreachable for long; it may return as a new agent."""
        del self.members[name]
        self.updates.remove(name)


def is_more_severe(state: str, other: MemberState) -> bool:
    """Return whether `state` takes precedence over `other` within an incarnation."""
    return SEVERITY[state] > SEVERITY[other]


def describe_unseen(states: Mapping[str, str], needed: Iterable[str]) -> str:
    """Return which of the `needed` agents are not alive, as text for operators; empty if all are.

    `states`: known states by agent. A fleet rollout waits while agents of its instances are not seen, since
    the minimum cannot be proven without their reports.
    """
    unseen = [name for name in needed if states.get(name, MemberState.UNREACHABLE) != MemberState.ALIVE]
    return f"agents not seen: {', '.join(sorted(unseen))}" if unseen else ""
