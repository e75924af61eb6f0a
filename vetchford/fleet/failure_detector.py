"""Which agents are alive: probes and gossip, no leader, suspicion before a verdict. No I/O; times in ms.

As SWIM describes it (Das, Gupta, Motivala, 2002): each period an agent probes one other, indirectly through a
few more where it does not answer, and membership updates (`membership.py`) are piggybacked on these messages.
An agent that does not answer is suspected first and can refute it; an agent whose own probes often fail waits
longer before it suspects others (Lifeguard, Dadgar and others, 2017).
"""

import math
import zlib
from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from vetchford.fleet.membership import Member, Membership, MembershipActions, MemberState
from vetchford.fleet.membership_updates import MembershipUpdate

PROBE_INTERVAL_MS = 1000.0  # each agent is probed about once in it by somebody
MIN_PROBE_GAP_MS = 0.5 * PROBE_INTERVAL_MS  # between two probes, also after a late tick
PROBE_TIMEOUT_MS = 300.0  # until others are asked to probe: a busy agent takes some tens
PROBE_EXPIRY_TIMEOUTS = 2.5  # probe timeouts until a probe has failed: the indirect way fits into them, too
INDIRECT_PROBES = 3  # agents asked to probe in our place: at 5 % loss all of four ways fail in 1 of 10,000
SUSPICION_PERIODS = 3.0  # probe intervals, times `group_scale`, until a suspect is unreachable
MAX_HEALTH_PENALTY = 4  # failed probes that count: an agent that hears nobody is likely the trouble itself
SUSPICION_SHARE_PER_PENALTY = 0.5  # of the suspicion's length, for each failed probe of our own
UNREACHABLE_RETENTION_MS = 120_000.0  # that they are kept, and probed in case a split has healed
UNREACHABLE_PROBE_PERIODS = 5  # probe intervals between two such probes
STOPPED_AFTER_MS = 1500.0  # between two calls of `tick`: fifteen were missed, this process was stopped


class MessageKind(StrEnum):
    """The kinds of messages; the values are the encoded words."""

    PING = "ping"
    ACK = "ack"
    PING_REQUEST = "ask"  # of an indirect probe


class DetectorActions(MembershipActions, Protocol):
    """What the failure detector acts through."""

    def send(self, to: str, kind: str, number: int, about: str, updates: list[MembershipUpdate]) -> None:
        """One datagram; it may be lost, late or doubled."""


@dataclass(slots=True)
class Probe:
    """A ping that waits for its ack."""

    target: str
    indirect_at_ms: float  # then others are asked to probe
    expires_at_ms: float  # then the target is suspected
    is_indirect: bool = False
    requester: str = ""  # the agent in whose place we probe
    requester_number: int = 0  # of the requester's own probe


class FailureDetector:
    """Probes the others, and keeps `membership` by what it learns."""

    def __init__(
        self,
        actions: DetectorActions,
        name: str,
        others: Iterable[str],
        seed: int,
        incarnation: int = 0,
        fixed_members: bool = False,
        now_ms: float = 0.0,
    ) -> None:
        """`incarnation`: higher at each start of this agent, or what was said of it before would hold.

        `fixed_members`: only `others` are ever known, none is forgotten, and none is alive before a message
        of it.
        """
        self.actions = actions
        self.name = name
        self.seed = seed
        self.draws = 0
        self.membership = Membership(actions, name, others, incarnation, fixed_members, now_ms)
        self.last_tick_at_ms = now_ms
        self.health_penalty = 0  # one more for each failed probe, one less for each that succeeds
        self.probes: dict[int, Probe] = {}  # by number; removed as they are answered or expire
        self.probe_order: list[str] = []  # the last one is next; filled anew when it is empty
        self.last_number = 0  # of the probes sent so far
        self.next_probe_at_ms = 0.0
        self.periods = 0  # probe intervals so far

    def draw(self, count: int) -> int:
        """Below `count`; by seed, name and number of draws alone, so that a simulation can be repeated."""
        self.draws += 1
        return zlib.crc32(b"%d:%s:%d" % (self.seed, self.name.encode(), self.draws)) % count

    # -- time

    def tick(self, now_ms: float) -> None:
        """Called ten times a second or more often."""
        gap_ms = now_ms - self.last_tick_at_ms
        self.last_tick_at_ms = now_ms
        if gap_ms > STOPPED_AFTER_MS:
            self.shift_deadlines(gap_ms)
        for number, probe in list(self.probes.items()):
            self.check_probe(now_ms, number, probe)
        for name, member in list(self.membership.members.items()):
            self.check_member(now_ms, name, member)
        if now_ms >= self.next_probe_at_ms:
            next_in_order_ms = self.next_probe_at_ms + PROBE_INTERVAL_MS
            self.next_probe_at_ms = max(next_in_order_ms, now_ms + MIN_PROBE_GAP_MS)
            self.start_probes(now_ms)

    def shift_deadlines(self, gap_ms: float) -> None:
        """This process was stopped for `gap_ms`: nobody else is late because of it."""
        for member in self.membership.members.values():
            member.since_ms += gap_ms
        for probe in self.probes.values():
            probe.indirect_at_ms += gap_ms
            probe.expires_at_ms += gap_ms

    def check_probe(self, now_ms: float, number: int, probe: Probe) -> None:
        """Asks others to probe, and then suspects the target, as time passes without an ack."""
        if now_ms >= probe.expires_at_ms:
            del self.probes[number]
            if not probe.requester:
                self.fail_probe(now_ms, probe)
        elif now_ms >= probe.indirect_at_ms and not probe.is_indirect and not probe.requester:
            probe.is_indirect = True
            self.request_indirect_probes(number, probe.target)

    def fail_probe(self, now_ms: float, probe: Probe) -> None:
        """Nobody has reached the target."""
        self.health_penalty = min(MAX_HEALTH_PENALTY, self.health_penalty + 1)
        member = self.membership.members.get(probe.target)
        if member is not None and member.state == MemberState.ALIVE:
            self.membership.apply_update(now_ms, (probe.target, MemberState.SUSPECT, member.incarnation))

    def request_indirect_probes(self, number: int, target: str) -> None:
        """Asks a few agents, drawn by chance, to probe in our place."""
        others = [name for name in self.membership.reachable() if name != target]
        for _ in range(min(INDIRECT_PROBES, len(others))):
            helper = others.pop(self.draw(len(others)))
            self.send(helper, MessageKind.PING_REQUEST, number, target)

    def check_member(self, now_ms: float, name: str, member: Member) -> None:
        """Ends a suspicion that nobody refuted, and forgets who was unreachable for long."""
        age_ms = now_ms - member.since_ms
        if member.state == MemberState.SUSPECT:
            if age_ms >= self.suspicion_ms():
                self.membership.apply_update(now_ms, (name, MemberState.UNREACHABLE, member.incarnation))
        elif (
            member.state == MemberState.UNREACHABLE
            and age_ms >= UNREACHABLE_RETENTION_MS
            and not self.membership.fixed
        ):
            self.membership.forget(name)

    def suspicion_ms(self) -> float:
        """How long a suspect has to refute before it counts as unreachable.

        It grows with the size of the group, as the news of it and its refutation take longer (SWIM, 4.2), and
        with the failures of our own probes, which may be our own trouble (Lifeguard).
        """
        penalty = 1 + SUSPICION_SHARE_PER_PENALTY * self.health_penalty
        periods = SUSPICION_PERIODS * self.membership.group_scale() * penalty
        return PROBE_INTERVAL_MS * periods

    # -- probes

    def start_probes(self, now_ms: float) -> None:
        """The probe of this interval, and now and then one of an unreachable agent."""
        self.periods += 1
        if self.periods % UNREACHABLE_PROBE_PERIODS == 0:
            self.ping_unreachable()
        target = self.next_target()
        if target:
            self.last_number += 1
            timeout_ms = PROBE_TIMEOUT_MS * (1 + self.health_penalty)
            expires_after_ms = max(PROBE_INTERVAL_MS, PROBE_EXPIRY_TIMEOUTS * timeout_ms)
            self.probes[self.last_number] = Probe(target, now_ms + timeout_ms, now_ms + expires_after_ms)
            self.send(target, MessageKind.PING, self.last_number)

    def ping_unreachable(self) -> None:
        """The ping tells one of them what is said of it, so that it can refute it; no ack is waited for."""
        unreachable = self.membership.in_states(MemberState.UNREACHABLE)
        if unreachable:
            self.last_number += 1
            self.send(unreachable[self.draw(len(unreachable))], MessageKind.PING, self.last_number)

    def next_target(self) -> str:
        """Each agent once, in an order drawn anew, so that nobody waits for long; empty for none."""
        while self.probe_order and self.membership.state(self.probe_order[-1]) == MemberState.UNREACHABLE:
            self.probe_order.pop()
        if not self.probe_order:
            left = self.membership.reachable()
            while left:
                self.probe_order.append(left.pop(self.draw(len(left))))
        return self.probe_order.pop() if self.probe_order else ""

    # -- messages

    def receive(
        self, now_ms: float, sender: str, kind: str, number: int, about: str, updates: list[MembershipUpdate]
    ) -> None:
        """A datagram; `about` names the target of a `PING_REQUEST`.

        KeyError or ValueError for a state that is none.
        """
        for update in updates:
            self.membership.apply_update(now_ms, update)
        if sender not in self.membership.members and not self.membership.fixed:
            self.membership.apply_update(now_ms, (sender, MemberState.ALIVE, 0))
        if kind == MessageKind.PING:
            self.send(sender, MessageKind.ACK, number)
        elif kind == MessageKind.PING_REQUEST and about in self.membership.members:
            self.probe_for(now_ms, sender, number, about)
        elif kind == MessageKind.ACK:
            self.on_ack(number)

    def probe_for(self, now_ms: float, requester: str, number: int, target: str) -> None:
        """Probes in the place of another agent."""
        self.last_number += 1
        expires_at_ms = now_ms + PROBE_INTERVAL_MS
        self.probes[self.last_number] = Probe(target, math.inf, expires_at_ms, False, requester, number)
        self.send(target, MessageKind.PING, self.last_number)

    def on_ack(self, number: int) -> None:
        """A probe was answered: ours, or one in the place of another agent, which is told."""
        probe = self.probes.pop(number, None)
        if probe is None:
            return
        if probe.requester:
            self.send(probe.requester, MessageKind.ACK, probe.requester_number)
        else:
            self.health_penalty = max(0, self.health_penalty - 1)

    def send(self, to: str, kind: str, number: int, about: str = "") -> None:
        """Sends one message with the updates that ride on it."""
        self.actions.send(to, kind, number, about, self.membership.piggyback(to))
