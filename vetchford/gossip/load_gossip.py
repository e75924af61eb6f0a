"""What each server sees, spread to all in messages of one size, and what all see together. No I/O; times in
ms.

A server's figures are one row under its name, life and sequence. Each period it sends its own row and some
that it heard of to two others; a row that comes late, doubled or after its origin has left does no harm, as
the newest of an origin stands and every row grows old. No clocks are compared: a row carries its age, and
each holder adds the time that it held it.

The table is bounded, so in a large fleet a server sees a sample of it; a message has the same size in any
fleet. An aggregate is a mean without the highest and the lowest sixth of the rows: one row an origin, so
liars fewer than that can move it within what honest servers see and no further. Where too few rows are
young it is nothing, and nothing means: decide alone.

Weighed (docs/design/together.md): push-sum, whose sums a lost message spoils; sketches of all origins,
whose bytes grow with the fleet; extrema, which one liar owns.
"""

import math
import zlib
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Any, Protocol

PERIOD = 500.0  # ms between two messages to each target: a row is through 200 servers in some four of them
TARGETS = 2  # a period: one of the ring, so that nobody is left out, and one by chance
MOST_ROWS = 12  # in a message: under 700 bytes with six figures and names of 16
MOST_TOLD = 24  # others that hear of a change at once, in 3 KB: the rest hear from them within two periods
MOST_KNOWN = 256  # rows kept: a share of 0.5 is then known to 0.03
OLD = 4000.0  # ms: eight periods; what is older says nothing of a service that changes within a second
FRESH = 1500.0  # ms: rows younger than this are passed on first
LEAST = 3  # young rows below which there is no aggregate
TRIMMED = 1.0 / 6.0  # of the rows, at each end
MOST_VALUES = 32  # figures in a row

Row = list[Any]  # name, life, sequence, age in ms, figures (thousandths of their bound; -1: nothing to say)


class Host(Protocol):
    """What the decisions act through."""

    def send_rows(self, to: str, rows: list[Row]) -> None:
        """One datagram; it may be lost, late or doubled."""

    def log_event(self, event: str, **fields: Any) -> None: ...


@dataclass(frozen=True, slots=True)
class MetricDefinition:
    """One thing that all servers tell, the same list on all: 0 to `most`."""

    name: str
    most: float


@dataclass(slots=True)
class PeerReport:
    life: int
    sequence: int
    measured: float  # by our clock
    values: list[int]
    sent: int = 0


@dataclass(frozen=True, slots=True)
class Aggregate:
    value: float
    rows: int  # young ones with something to say
    age: float  # ms, their mean


class LoadGossip:
    """One server's rows, and what follows from them."""

    def __init__(
        self, host: Host, name: str, life: int, figures: Sequence[MetricDefinition], seed: int
    ) -> None:
        assert 0 < len(figures) <= MOST_VALUES
        self.host, self.name, self.life, self.seed, self.draws = host, name, life, seed, 0
        self.figures, self.at = list(figures), {figure.name: n for n, figure in enumerate(figures)}
        self.rows: dict[str, PeerReport] = {}  # by origin; emptied by age, departure and room
        self.others: list[str] = []  # those who are there
        self.ring: list[str] = []  # of them, whom we tell in turn
        self.sequence, self.turn, self.next = 0, 0, 0.0

    def draw(self, count: int) -> int:
        self.draws += 1
        return zlib.crc32(b"%d:%s:%d" % (self.seed, self.name.encode(), self.draws)) % count

    # -- what happens

    def there(self, others: Iterable[str], ring: Iterable[str]) -> None:
        """Who is there beside us has changed; rows of those who left count no more."""
        self.others = sorted(set(others) - {self.name})
        self.ring = [name for name in ring if name in self.others]
        stay = {*self.others, self.name}
        for gone in [name for name in self.rows if name not in stay]:
            del self.rows[gone]

    def measured(self, now: float, figures: dict[str, float]) -> None:
        """Our own row; a figure that is not told says nothing."""
        values = [-1] * len(self.figures)
        for name, value in figures.items():
            most = self.figures[self.at[name]].most
            if math.isfinite(value):
                values[self.at[name]] = round(1000.0 * min(max(0.0, value), most) / most)
        self.sequence += 1
        self.rows[self.name] = PeerReport(self.life, self.sequence, now, values)

    def news(self, now: float) -> None:
        """Our own row to many at once, where what it says can't wait: rarely, and not to all of a large
        fleet.
        """
        most = min(MOST_TOLD, len(self.others))
        start = self.draw(len(self.others)) if self.others else 0
        for n in range(most):
            target = self.others[(start + n) % len(self.others)]
            self.host.send_rows(target, self.chosen(now, target)[:1])

    def woke(self, now: float) -> None:
        """Ten times a second."""
        if now < self.next:
            return
        self.next = max(self.next + PERIOD, now + 0.5 * PERIOD)
        for origin in [origin for origin, row in self.rows.items() if now - row.measured >= OLD]:
            del self.rows[origin]
        targets = []
        if self.ring:
            self.turn += 1
            targets.append(self.ring[self.turn % len(self.ring)])
        while self.others and len(targets) < min(TARGETS, len(self.others)):
            other = self.others[self.draw(len(self.others))]
            if other not in targets:
                targets.append(other)
        for target in targets:
            rows = self.chosen(now, target)
            if rows:
                self.host.send_rows(target, rows)

    def chosen(self, now: float, target: str) -> list[Row]:
        """Our own row, then the fresh ones that we passed on least often."""
        own = [self.name] if self.name in self.rows else []
        others = [origin for origin in self.rows if origin not in (self.name, target)]
        others.sort(
            key=lambda origin: (
                now - self.rows[origin].measured > FRESH,
                self.rows[origin].sent,
                -self.rows[origin].measured,
                origin,
            )
        )
        out: list[Row] = []
        for origin in own + others[: MOST_ROWS - len(own)]:
            row = self.rows[origin]
            row.sent += 1
            out.append([origin, row.life, row.sequence, max(0, round(now - row.measured)), row.values])
        return out

    def heard(self, now: float, sender: str, rows: Any) -> None:
        """Rows of another; ValueError, TypeError where they are none."""
        for name, life, sequence, age, values in rows[:MOST_ROWS]:
            if len(values) != len(self.figures) or not all(
                isinstance(v, int) and -1 <= v <= 1000 for v in values
            ):
                raise ValueError("figures that are not ours")
            if not isinstance(life, int) or not isinstance(sequence, int) or not 0 <= age < 1e9:
                raise ValueError("no row")
            if name == self.name or age >= OLD or (name != sender and name not in self.others):
                continue
            known = self.rows.get(name)
            if known is not None and (life, sequence) <= (known.life, known.sequence):
                continue
            if known is None and len(self.rows) >= MOST_KNOWN:
                oldest = min(self.rows, key=lambda origin: (self.rows[origin].measured, origin))
                if self.rows[oldest].measured >= now - age or oldest == self.name:
                    continue
                del self.rows[oldest]
            self.rows[name] = PeerReport(life, sequence, now - age, list(values))

    # -- what is asked

    def told(self, now: float, figure: str) -> list[tuple[float, float]]:
        """Value and age of each young row that says something, the youngest first."""
        at, most = self.at[figure], self.figures[self.at[figure]].most
        found = [
            (row.values[at] * most / 1000.0, max(0.0, now - row.measured))
            for row in self.rows.values()
            if row.values[at] >= 0 and now - row.measured < OLD
        ]
        return sorted(found, key=lambda one: (one[1], one[0]))

    def aggregate(self, now: float, figure: str, least: int = LEAST) -> Aggregate | None:
        """The trimmed mean of the young rows; None where fewer than `least` say anything."""
        found = self.told(now, figure)
        if len(found) < least:
            return None
        cut = math.ceil(TRIMMED * len(found)) if len(found) >= 3 else 0
        kept = sorted(value for value, _ in found)[cut : len(found) - cut]
        return Aggregate(sum(kept) / len(kept), len(found), sum(age for _, age in found) / len(found))
