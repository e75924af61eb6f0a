"""Which agents are alive: probes and gossip, no leader, suspicion before a verdict. No I/O; times in ms.

As SWIM describes it (Das, Gupta, Motivala, 2002): each period an agent probes one other, indirectly through a
few more where it does not answer, and membership updates are piggybacked on these messages. An agent that
does not answer is suspected first and can refute it; an agent whose own probes often fail waits longer before
it suspects others (Lifeguard, Dadgar and others, 2017).
"""

import math
import zlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from enum import StrEnum
from typing import Protocol

from vetchford.fleet.membership_updates import MembershipUpdate, UpdateQueue

PROBE_INTERVAL = 1000.0  # ms: each agent is probed about once in it by somebody
PROBE_TIMEOUT = 300.0  # ms: on one site's network a few are usual, a busy agent takes some tens
INDIRECT_PROBES = 3  # agents asked to probe in our place: at 5 % loss all of four ways fail in 1 of 10,000
SUSPICION_PERIODS = 3.0  # probe intervals, times `group_scale`, until a suspect is unreachable
SENDS_PER_UPDATE = 3.0  # times `group_scale`: all get an update but one in some thousands
MAX_UPDATES = 8  # on one message: under a datagram's 1,400 bytes with names of 64
MAX_HEALTH_PENALTY = 4  # an agent that hears nobody is likely the trouble itself: waits up to 5 times as long
UNREACHABLE_RETENTION = 120_000.0  # ms that they are kept, and probed now and then in case a split has healed
UNREACHABLE_PROBE_PERIODS = 5  # probe intervals between two such probes
STOPPED_AFTER = 1500.0  # ms between two calls of `tick`: fifteen were missed, this process was stopped

PING, ACK, PING_REQUEST = "ping", "ack", "ask"  # kinds of messages, as they are sent


class MemberState(StrEnum):
    """What is known of an agent; the values are the encoded words."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    UNREACHABLE = "dead"


SEVERITY: dict[str, int] = {state: rank for rank, state in enumerate(MemberState)}


class DetectorActions(Protocol):
    """What the failure detector acts through."""

    def send(self, to: str, kind: str, number: int, about: str, updates: list[MembershipUpdate]) -> None:
        """One datagram; it may be lost, late or doubled."""

    def on_state_changed(self, name: str, state: MemberState) -> None:
        """Another agent is seen otherwise than before."""


@dataclass(slots=True)
class Member:
    """What this agent knows of another one."""

    state: MemberState
    incarnation: int
    since: float


@dataclass(slots=True)
class Probe:
    """A ping that waits for its ack."""

    target: str
    indirect_at: float  # then others are asked to probe
    expires_at: float  # then the target is suspected
    is_indirect: bool = False
    requester: str = ""  # the agent in whose place we probe
    requester_number: int = 0  # of the requester's own probe


NO_MEMBER = Member(MemberState.ALIVE, -1, 0.0)  # before the first update of an agent that is not known yet


class FailureDetector:
    """One agent's view of all others."""

    def __init__(
        self,
        actions: DetectorActions,
        name: str,
        others: Iterable[str],
        seed: int,
        incarnation: int = 0,
        fixed_members: bool = False,
        now: float = 0.0,
    ) -> None:
        """`incarnation`: higher at each start of this agent, or what was said of it before would hold.

        `fixed_members`: only `others` are ever known, none is forgotten, and none is alive before a message
        of it.
        """
        self.actions, self.name, self.seed, self.draws = actions, name, seed, 0
        self.incarnation, self.fixed_members, self.last_tick_at = incarnation, fixed_members, now
        self.health_penalty = 0  # one more for each failed probe, one less for each that succeeds
        first = Member(MemberState.SUSPECT, -1, now) if fixed_members else Member(MemberState.ALIVE, 0, 0.0)
        self.members = {other: replace(first) for other in sorted(others) if other != name}
        self.updates = UpdateQueue()
        self.updates.add(name)
        self.probes: dict[int, Probe] = {}  # by number; removed as they are answered or expire
        self.probe_order: list[str] = []  # the last one is next; filled anew when it is empty
        self.last_number, self.next_probe_at, self.periods = 0, 0.0, 0

    def draw(self, count: int) -> int:
        """Below `count`; by seed, name and number of draws alone, so that a simulation can be repeated."""
        self.draws += 1
        return zlib.crc32(b"%d:%s:%d" % (self.seed, self.name.encode(), self.draws)) % count

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

    # -- time

    def tick(self, now: float) -> None:
        """Called ten times a second or more often."""
        gap, self.last_tick_at = now - self.last_tick_at, now
        if gap > STOPPED_AFTER:
            self.shift_deadlines(gap)
        for number, probe in list(self.probes.items()):
            self.check_probe(now, number, probe)
        for name, member in list(self.members.items()):
            self.check_member(now, name, member)
        if now >= self.next_probe_at:
            self.next_probe_at = max(self.next_probe_at + PROBE_INTERVAL, now + 0.5 * PROBE_INTERVAL)
            self.start_probes(now)

    def shift_deadlines(self, gap: float) -> None:
        """This process was stopped for `gap`: nobody else is late because of it."""
        for member in self.members.values():
            member.since += gap
        for probe in self.probes.values():
            probe.indirect_at += gap
            probe.expires_at += gap

    def check_probe(self, now: float, number: int, probe: Probe) -> None:
        """Asks others to probe, and then suspects the target, as time passes without an ack."""
        if now >= probe.expires_at:
            del self.probes[number]
            if not probe.requester:
                self.fail_probe(now, probe)
        elif now >= probe.indirect_at and not probe.is_indirect and not probe.requester:
            probe.is_indirect = True
            self.request_indirect_probes(number, probe.target)

    def fail_probe(self, now: float, probe: Probe) -> None:
        """Nobody has reached the target."""
        self.health_penalty = min(MAX_HEALTH_PENALTY, self.health_penalty + 1)
        member = self.members.get(probe.target)
        if member is not None and member.state == MemberState.ALIVE:
            self.apply_update(now, (probe.target, MemberState.SUSPECT, member.incarnation))

    def request_indirect_probes(self, number: int, target: str) -> None:
        """Asks a few agents, drawn by chance, to probe in our place."""
        others = [name for name in self.reachable() if name != target]
        for _ in range(min(INDIRECT_PROBES, len(others))):
            helper = others.pop(self.draw(len(others)))
            self.send(helper, PING_REQUEST, number, target)

    def check_member(self, now: float, name: str, member: Member) -> None:
        """Ends a suspicion that nobody refuted, and forgets who was unreachable for long."""
        age = now - member.since
        if member.state == MemberState.SUSPECT:
            periods = SUSPICION_PERIODS * self.group_scale() * (1 + 0.5 * self.health_penalty)
            if age >= PROBE_INTERVAL * periods:
                self.apply_update(now, (name, MemberState.UNREACHABLE, member.incarnation))
        elif (
            member.state == MemberState.UNREACHABLE
            and age >= UNREACHABLE_RETENTION
            and not self.fixed_members
        ):
            del self.members[name]
            self.updates.remove(name)

    # -- probes

    def start_probes(self, now: float) -> None:
        """The probe of this interval, and now and then one of an unreachable agent."""
        self.periods += 1
        if self.periods % UNREACHABLE_PROBE_PERIODS == 0:
            self.ping_unreachable()
        target = self.next_target()
        if target:
            self.last_number += 1
            timeout = PROBE_TIMEOUT * (1 + self.health_penalty)
            expires_at = now + max(PROBE_INTERVAL, 2.5 * timeout)
            self.probes[self.last_number] = Probe(target, now + timeout, expires_at)
            self.send(target, PING, self.last_number)

    def ping_unreachable(self) -> None:
        """The ping tells one of them what is said of it, so that it can refute it; no ack is waited for."""
        unreachable = self.in_states(MemberState.UNREACHABLE)
        if unreachable:
            self.last_number += 1
            self.send(unreachable[self.draw(len(unreachable))], PING, self.last_number)

    def next_target(self) -> str:
        """Each agent once, in an order drawn anew, so that nobody waits for long; empty for none."""
        while self.probe_order and self.state(self.probe_order[-1]) == MemberState.UNREACHABLE:
            self.probe_order.pop()
        if not self.probe_order:
            left = self.reachable()
            while left:
                self.probe_order.append(left.pop(self.draw(len(left))))
        return self.probe_order.pop() if self.probe_order else ""

    # -- messages

    def receive(
        self, now: float, sender: str, kind: str, number: int, about: str, updates: list[MembershipUpdate]
    ) -> None:
        """A datagram; `about` names the target of a PING_REQUEST.

        KeyError or ValueError for a state that is none.
        """
        for update in updates:
            self.apply_update(now, update)
        if sender not in self.members and not self.fixed_members:
            self.apply_update(now, (sender, MemberState.ALIVE, 0))
        if kind == PING:
            self.send(sender, ACK, number)
        elif kind == PING_REQUEST and about in self.members:
            self.probe_for(now, sender, number, about)
        elif kind == ACK:
            self.on_ack(number)

    def probe_for(self, now: float, requester: str, number: int, target: str) -> None:
        """Probes in the place of another agent."""
        self.last_number += 1
        expires_at = now + PROBE_INTERVAL
        self.probes[self.last_number] = Probe(target, math.inf, expires_at, False, requester, number)
        self.send(target, PING, self.last_number)

    def on_ack(self, number: int) -> None:
        """A probe was answered: ours, or one in the place of another agent, which is told."""
        probe = self.probes.pop(number, None)
        if probe is None:
            return
        if probe.requester:
            self.send(probe.requester, ACK, probe.requester_number)
        else:
            self.health_penalty = max(0, self.health_penalty - 1)

    def send(self, to: str, kind: str, number: int, about: str = "") -> None:
        """Sends one message with the updates that ride on it."""
        self.actions.send(to, kind, number, about, self.piggyback(to))

    # -- updates

    def apply_update(self, now: float, update: MembershipUpdate) -> None:
        """The higher incarnation wins, and within one the worse state.

        KeyError or ValueError for a state that is none.
        """
        name, state, incarnation = update
        if name == self.name:
            self.refute(state, incarnation)
            return
        if name not in self.members and (state == MemberState.UNREACHABLE or self.fixed_members):
            return
        member = self.members.get(name, NO_MEMBER)
        if incarnation < member.incarnation:
            return
        if incarnation == member.incarnation and not is_worse(state, member.state):
            return
        is_changed = name not in self.members or state != member.state
        since = now if is_changed else member.since
        self.members[name] = Member(MemberState(state), incarnation, since)
        self.updates.add(name)
        if is_changed:
            self.actions.on_state_changed(name, self.members[name].state)

    def refute(self, state: str, incarnation: int) -> None:
        """Denies what others say of this agent by a higher incarnation."""
        if state != MemberState.ALIVE and incarnation >= self.incarnation:
            self.restart(incarnation + 1)

    def piggyback(self, to: str) -> list[MembershipUpdate]:
        """The updates for one message: what concerns its receiver, then those that were sent least often."""
        out: list[MembershipUpdate] = []
        receiver = self.members.get(to)
        if receiver is not None and receiver.state != MemberState.ALIVE:
            out.append((to, receiver.state, receiver.incarnation))
        for name in self.updates.take(MAX_UPDATES, math.ceil(SENDS_PER_UPDATE * self.group_scale())):
            if name == self.name:
                out.append((name, MemberState.ALIVE, self.incarnation))
            elif name in self.members and name != to:
                member = self.members[name]
                out.append((name, member.state, member.incarnation))
        return out


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
