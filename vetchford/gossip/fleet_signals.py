"""What one server does about what all see: a few plain numbers for its admission. No I/O; times in ms.

The records service has four states here, each with the evidence that leads out of it:

    well     -> slow     the fleet's calls take SLOW times their usual time
    any      -> dead     the fleet loses nearly all calls, and nobody was answered for NO_WORD;
                         only who holds a turn to probe calls then
    dead     -> opening  a call of somebody's was answered since it was held for dead
    opening  -> well     after a ramp that begins apart on each server, so that it is not met by all at once

A server that has not called yet acts with the others. Where the signals say nothing it decides alone: all
numbers are as if there were none.
"""

import math
import zlib
from dataclasses import dataclass
from typing import Any, Protocol

from vetchford.gossip.load_gossip import LoadGossip, MetricDefinition

SLOW, SLOW_OVER = 2.5, 1.7  # times the usual: chance and a busy hour stay under 2, a trouble is 5 and more
DEAD = 0.85  # of the calls lost: a service at a tenth of its speed still answers a tenth or more
NO_WORD = 1000.0  # ms without one answer to anybody until it is held for dead: a pause of it is shorter
SHUT_AT_LEAST = 400.0  # ms: a turn to probe is had within that where its keepers are well
# ms without a word of anybody's probe until this server probes by itself: its own links may be cut
ALONE = 6000.0
APART, RAMP = 2.0, 4.0
# ms for each server that is there: by chance until one opens, then until all its calls go;
# the slices bound what comes at once, so a few may open as they hear, 200 take a second and a half
FULL, FULL_OVER = 0.5, 0.3  # share of tasks turned away by the fleet: over half, one in two walks in vain
MOST_STRETCH = 4.0  # of return times
FIGURES = (
    MetricDefinition("pace", 64.0),  # recent call time over the usual
    MetricDefinition("lost", 1.0),  # share of calls that were cut, refused or broken off
    MetricDefinition("well", 10_000.0),  # ms since a call was last answered
    MetricDefinition("full", 1.0),  # share of tasks turned away
    MetricDefinition("memory", 1.0),  # of its limit
    MetricDefinition("rate", 100_000.0),  # tasks read a second
)
PROBE = "probe"  # the turn

WELL, SLOWED, DEAD_NOW, OPENING = "well", "slow", "dead", "opening"


class Host(Protocol):
    """What the conclusions act through."""

    def want_probe(self) -> None: ...

    def done_probe(self) -> None: ...

    def may_probe(self) -> bool:
        """Whether the turn is ours just now."""

    def log_event(self, event: str, **fields: Any) -> None: ...


@dataclass(frozen=True, slots=True)
class FleetSignals:
    """For the node: see `rules.Node.fleet`."""

    pace: float = 1.0  # times that a call takes longer than usual
    room: float = 1.0  # part of our slice of the calls; 0: none goes out
    full: bool = False  # walking on is useless
    stretch: float = 1.0  # of return times


class FleetSignalPolicy:
    """Asked several times a second."""

    def __init__(self, host: Host, name: str, seed: int, signals: LoadGossip) -> None:
        self.host, self.signals = host, signals
        self.chance = zlib.crc32(b"%d:%s" % (seed, name.encode())) % 1000 / 1000.0
        self.state, self.since, self.full = WELL, 0.0, False
        self.probing_since = 0.0

    def apart(self) -> float:
        return self.chance * APART * (1 + len(self.signals.others))

    def ramp(self) -> float:
        return RAMP * (1 + len(self.signals.others))

    def to(self, now: float, state: str, why: str) -> None:
        if state != self.state:
            self.host.log_event("records_seen", state=state, was=self.state, why=why)
            if self.state == DEAD_NOW:
                self.host.done_probe()
            self.state, self.since = state, now
            if state == DEAD_NOW:
                self.host.want_probe()

    def turn(self, now: float) -> FleetSignals:
        """What holds from now on."""
        pace, lost = self.signals.aggregate(now, "pace"), self.signals.aggregate(now, "lost")
        if self.state == DEAD_NOW:
            self.look_for_life(now)
        elif lost is not None and lost.value >= DEAD and self.last_well(now) >= NO_WORD:
            self.to(now, DEAD_NOW, f"{lost.value:.2f} of the calls of {lost.rows} servers are lost")
        elif self.state == OPENING and now - self.since >= self.apart() + self.ramp():
            self.to(now, WELL, "opened")
        elif self.state == WELL and pace is not None and pace.value >= SLOW:
            self.to(now, SLOWED, f"calls of {pace.rows} servers take {pace.value:.1f} times the usual")
        elif self.state == SLOWED and (pace is None or pace.value < SLOW_OVER):
            self.to(now, WELL, "calls take the usual time" if pace else "nothing is heard")
        full = self.signals.aggregate(now, "full")
        self.full = full is not None and full.value >= (FULL_OVER if self.full else FULL)
        stretch = 1.0
        if self.full and full is not None:
            stretch = min(MOST_STRETCH, 1.0 / max(1e-6, 1.0 - full.value))
        slow = pace.value if pace is not None and self.state == SLOWED else 1.0
        return FleetSignals(max(1.0, slow), self.room(now), self.full, stretch)

    def look_for_life(self, now: float) -> None:
        dead_for = now - self.since
        if dead_for < SHUT_AT_LEAST:
            return
        if self.last_well(now) < dead_for - SHUT_AT_LEAST:
            self.to(now, OPENING, "it answers")
        elif any(age < dead_for - SHUT_AT_LEAST for _, age in self.signals.told(now, "lost")):
            self.probing_since = now  # somebody tries, and has no luck
        elif now - max(self.since, self.probing_since) >= ALONE:
            self.to(now, OPENING, "nobody tells of a probe")

    def last_well(self, now: float) -> float:
        """ms since anybody's call was answered, as far as it is known here."""
        return min((value + age for value, age in self.signals.told(now, "well")), default=math.inf)

    def room(self, now: float) -> float:
        if self.state == DEAD_NOW:
            return 1e-6 if self.host.may_probe() else 0.0  # the least there is: one call at a time
        if self.state == OPENING:
            return min(1.0, max(0.0, (now - self.since - self.apart()) / self.ramp()))
        return 1.0  # slow: as many calls as ever keep its slots full; fewer would leave them idle
