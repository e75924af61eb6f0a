"""Failure detector: finds unreachable agents by probes and gossip, without a leader. No I/O; times in ms.

Follows SWIM (Das, Gupta, Motivala, 2002): in each period an agent probes one other agent, and asks a few more
to probe it if it does not answer; membership updates (`membership.py`) are piggybacked on these messages. An
agent that does not answer is first suspected and can refute the suspicion. An agent whose own probes often
fail waits longer before it declares others unreachable (Lifeguard, Dadgar and others, 2017).
"""

import math
import zlib
from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from vetchford.fleet.membership import Member, Membership, MembershipActions, MemberState
from vetchford.fleet.membership_updates import MembershipUpdate

PROBE_INTERVAL_MS = 1000.0  # each agent is probed about once per interval
MIN_PROBE_GAP_MS = 0.5 * PROBE_INTERVAL_MS  # between two probes, also after a late tick
PROBE_TIMEOUT_MS = 300.0  # until indirect probes are requested; a busy agent answers within some tens of ms
PROBE_EXPIRY_TIMEOUTS = 2.5  # probe timeouts until a probe has failed; leaves time for indirect probes
INDIRECT_PROBES = 3  # agents asked to probe; at 5 % loss all four probes fail in 1 of 10,000 cases
SUSPICION_PERIODS = 3.0  # probe intervals, times `group_scale`, until a suspect is unreachable
MAX_HEALTH_PENALTY = 4  # failed probes that count; an agent that gets no answers is likely at fault itself
SUSPICION_SHARE_PER_PENALTY = 0.5  # part of the suspicion time, added for each failed probe of this agent
UNREACHABLE_RETENTION_MS = 120_000.0  # for which they are kept and probed, in case a partition heals
UNREACHABLE_PROBE_PERIODS = 5  # probe intervals between two pings of unreachable agents
STALL_THRESHOLD_MS = 1500.0  # between two ticks; fifteen missed ticks mean that this process was stopped


class MessageKind(StrEnum):
    """Kinds of messages; the values are the encoded names."""

    PING = "ping"
    ACK = "ack"
    PING_REQUEST = "ask"  # asks the receiver for an indirect probe


class DetectorActions(MembershipActions, Protocol):
    """Operations that the failure detector calls."""

    def send(self, to: str, kind: str, number: int, target: str, updates: list[MembershipUpdate]) -> None:
        """Send a datagram, which may be lost, late or duplicated; `target`: whom a `PING_REQUEST` probes."""


@dataclass(slots=True)
class Probe:
    """A ping that waits for its ack."""

    target: str
    indirect_at_ms: float  # when indirect probes are requested
    expires_at_ms: float  # when the probe has failed and the target is suspected
    indirect_requested: bool = False
    requester: str = ""  # the agent that asked for this indirect probe; empty for this agent's own probe
    requester_number: int = 0  # number of the requester's own probe


class FailureDetector:
    """Probes the other agents, and updates `membership` with the results."""

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
        """Start with `others` alive, or suspected if `fixed_members` is set.

        `incarnation`: must be higher at each start of this agent, or old updates about it would stay valid.

        `fixed_members`: agents besides `others` are ignored, none is forgotten, and none counts as alive
        before its first message.
        """
        self.actions = actions
        self.name = name
        self.seed = seed
        self.draw_count = 0
        self.membership = Membership(actions, name, others, incarnation, fixed_members, now_ms)
        self.last_tick_at_ms = now_ms
        self.health_penalty = 0  # incremented by each failed probe, decremented by each that succeeds
        self.probes: dict[int, Probe] = {}  # by number; removed once answered or expired
        self.probe_order: list[str] = []  # next targets, the last one first; refilled when empty
        self.last_number = 0  # of the probes sent so far
        self.next_probe_at_ms = 0.0
        self.periods = 0  # number of probe intervals so far

    def random_below(self, count: int) -> int:
        """Return a pseudo-random number below `count`, repeatable from seed, name and number of draws."""
        self.draw_count += 1
        return zlib.crc32(b"%d:%s:%d" % (self.seed, self.name.encode(), self.draw_count)) % count

    # -- time

    def tick(self, now_ms: float) -> None:
        """Act on timeouts and start probes; called ten times a second or more often."""
        gap_ms = now_ms - self.last_tick_at_ms
        self.last_tick_at_ms = now_ms
        if gap_ms > STALL_THRESHOLD_MS:
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
        """Move all deadlines by `gap_ms`, in which this process did not run and could receive no answer."""
        for member in self.membership.members.values():
            member.since_ms += gap_ms
        for probe in self.probes.values():
            probe.indirect_at_ms += gap_ms
            probe.expires_at_ms += gap_ms

    def check_probe(self, now_ms: float, number: int, probe: Probe) -> None:
        """Request indirect probes, and later fail the probe, as its timeouts pass without an ack."""
        if now_ms >= probe.expires_at_ms:
            del self.probes[number]
            if not probe.requester:
                self.on_probe_failed(now_ms, probe)
        elif now_ms >= probe.indirect_at_ms and not probe.indirect_requested and not probe.requester:
            probe.indirect_requested = True
            self.request_indirect_probes(number, probe.target)

    def on_probe_failed(self, now_ms: float, probe: Probe) -> None:
        """Suspect the target of a probe that neither this agent nor others got an ack for."""
        self.health_penalty = min(MAX_HEALTH_PENALTY, self.health_penalty + 1)
        member = self.membership.members.get(probe.target)
        if member is not None and member.state == MemberState.ALIVE:
            self.membership.apply_update(now_ms, (probe.target, MemberState.SUSPECT, member.incarnation))

    def request_indirect_probes(self, number: int, target: str) -> None:
        """Ask a few randomly chosen agents to probe the target."""
        others = [name for name in self.membership.reachable() if name != target]
        for _ in range(min(INDIRECT_PROBES, len(others))):
            helper = others.pop(self.random_below(len(others)))
            self.send(helper, MessageKind.PING_REQUEST, number, target)

    def check_member(self, now_ms: float, name: str, member: Member) -> None:
        """Declare a suspect unreachable once its time is over, and forget an agent unreachable for long."""
        age_ms = now_ms - member.since_ms
        if member.state == MemberState.SUSPECT:
            if age_ms >= self.suspicion_ms():
                self.membership.apply_update(now_ms, (name, MemberState.UNREACHABLE, member.incarnation))
        elif (
            member.state == MemberState.UNREACHABLE
            and age_ms >= UNREACHABLE_RETENTION_MS
            and not self.membership.fixed_members
        ):
            self.membership.forget(name)

    def suspicion_ms(self) -> float:
        """Return how long a suspect may refute the suspicion before it becomes unreachable.

        The time grows with the size of the group, as updates take longer to spread (SWIM, 4.2), and with the
        failures of this agent's own probes, which this agent may have caused itself (Lifeguard).
        """
        penalty = 1 + SUSPICION_SHARE_PER_PENALTY * self.health_penalty
        periods = SUSPICION_PERIODS * self.membership.group_scale() * penalty
        return PROBE_INTERVAL_MS * periods

    # -- probes

    def start_probes(self, now_ms: float) -> None:
        """Start the probe of this interval and, every few intervals, ping an unreachable agent."""
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
        """Ping an unreachable agent, whose update on the ping allows it to refute; expect no ack."""
        unreachable = self.membership.in_states(MemberState.UNREACHABLE)
        if unreachable:
            self.last_number += 1
            self.send(unreachable[self.random_below(len(unreachable))], MessageKind.PING, self.last_number)

    def next_target(self) -> str:
        """Return the next agent of a random order in which each occurs once, or empty if there is none."""
        while self.probe_order and self.membership.state(self.probe_order[-1]) == MemberState.UNREACHABLE:
            self.probe_order.pop()
        if not self.probe_order:
            remaining = self.membership.reachable()
            while remaining:
                self.probe_order.append(remaining.pop(self.random_below(len(remaining))))
        return self.probe_order.pop() if self.probe_order else ""

    # -- messages

    def receive(
        self, now_ms: float, sender: str, kind: str, number: int, target: str, updates: list[MembershipUpdate]
    ) -> None:
        """Handle a datagram; `target`: the agent to probe for a `PING_REQUEST`.

        Raise KeyError or ValueError for an unknown state in an update.
        """
        for update in updates:
            self.membership.apply_update(now_ms, update)
        if sender not in self.membership.members and not self.membership.fixed_members:
            self.membership.apply_update(now_ms, (sender, MemberState.ALIVE, 0))
        if kind == MessageKind.PING:
            self.send(sender, MessageKind.ACK, number)
        elif kind == MessageKind.PING_REQUEST and target in self.membership.members:
            self.probe_for(now_ms, sender, number, target)
        elif kind == MessageKind.ACK:
            self.on_ack(number)

    def probe_for(self, now_ms: float, requester: str, number: int, target: str) -> None:
        """Probe a target for another agent."""
        self.last_number += 1
        expires_at_ms = now_ms + PROBE_INTERVAL_MS
        self.probes[self.last_number] = Probe(target, math.inf, expires_at_ms, False, requester, number)
        self.send(target, MessageKind.PING, self.last_number)

    def on_ack(self, number: int) -> None:
        """Complete an answered probe; for an indirect probe, send the ack on to its requester."""
        probe = self.probes.pop(number, None)
        if probe is None:
            return
        if probe.requester:
            self.send(probe.requester, MessageKind.ACK, probe.requester_number)
        else:
            self.health_penalty = max(0, self.health_penalty - 1)

    def send(self, to: str, kind: str, number: int, target: str = "") -> None:
        """Send one message with piggybacked updates."""
        self.actions.send(to, kind, number, target, self.membership.piggyback(to))
