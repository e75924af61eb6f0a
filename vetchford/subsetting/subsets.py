"""Who deals with whom: shards of tenants, owners of subjects with bounded load, peers to listen to. No I/O.

All of it follows from a view (a set of names), a seed that the fleet shares and nothing else: whoever has
the same view has the same answer, in whatever order the names came and whatever was asked before. Where
views differ by d of n names, answers differ where one of the d is or was among those chosen: each function
says how far.

Weights are XXH3 of seed, name and key (xxhash), so names that differ by one character are as far apart as
any. Rendezvous: Thaler and Ravishankar, 1998; shuffle shards as in MacCarthaigh, 2014; bounded loads after
Mirrokni, Thorup and Zadimoghaddam, 2016, by deferred acceptance (Gale and Shapley, 1962) in place of probing.
"""

import heapq
import math
from collections.abc import Iterable, Mapping

import xxhash

SLACK = 1.15  # load of the fullest over the mean: the aim; at 1.05 twice as many move at a join
FIRST = 8  # choices that are ranked at once; more only for those who are turned away that often


class View:
    """A set of names and what follows from it; made anew when the set changes."""

    def __init__(self, names: Iterable[str], seed: str, zones: Mapping[str, str] | None = None) -> None:
        """`zones`: of names, where they are known; shards are spread over them."""
        self.names = sorted(set(names))
        self.seed, self.zones = seed, dict(zones or {})

    def weight(self, name: str, key: str) -> int:
        """Of 64 bits; the parts can't run into each other, as their lengths go before them."""
        return xxhash.xxh3_64_intdigest(f"{len(self.seed)}:{self.seed}{len(name)}:{name}{key}")

    def ranked(self, key: str, most: int | None = None) -> list[str]:
        """The names by their weight for a key, the heaviest first; equal weights by name.

        One name that comes or goes changes nobody else's order.
        """
        scored = ((-self.weight(name, key), name) for name in self.names)
        if most is None:
            return [name for _, name in sorted(scored)]
        return [name for _, name in heapq.nsmallest(most, scored)]

    # -- shards

    def shard(self, tenant: str, size: int) -> list[str]:
        """The servers of one tenant: as many zones as there are, then the heaviest.

        Two tenants share all of theirs in one of C(n, size) cases. A name that comes or goes changes one
        place of a shard at most without zones, and is in size / n of the shards.
        """
        order = self.ranked(tenant)
        if not self.zones or size >= len(order):
            return order[:size]
        by_zone: dict[str, list[str]] = {}  # in the order in which the zones' heaviest come
        for name in order:
            by_zone.setdefault(self.zones.get(name, ""), []).append(name)
        out: list[str] = []
        for turn in range(size):  # one of each zone in each turn
            for names in by_zone.values():
                if turn < len(names) and len(out) < size:
                    out.append(names[turn])
        return out

    # -- owners with bounded load

    def owners(self, keys: Mapping[str, float] | Iterable[str], slack: float = SLACK) -> dict[str, str]:
        """An owner for each key, none with more than `slack` times the mean, by count.

        Keys ask by their rank, servers hold the heaviest that ask: the outcome is one and the same in
        whatever order they ask. A name that comes takes from all alike; one that goes is shared out among
        all; beyond these only those move that a fuller server turns away.
        """
        wanted = sorted(keys)
        if not self.names:
            return {}
        room = max(1, math.ceil(slack * len(wanted) / len(self.names)))
        lists: dict[str, list[str]] = {key: self.ranked(key, FIRST) for key in wanted}
        turn = dict.fromkeys(wanted, 0)
        held: dict[str, list[tuple[int, str]]] = {
            name: [] for name in self.names
        }  # heaps, the lightest first
        asking = list(reversed(wanted))
        while asking:
            key = asking.pop()
            if turn[key] == len(lists[key]):
                if len(lists[key]) == len(self.names):
                    raise ValueError("more keys than there is room for")  # room * n >= keys: never
                lists[key] = self.ranked(key)
            name = lists[key][turn[key]]
            turn[key] += 1
            heapq.heappush(held[name], (self.weight(name, key), key))
            if len(held[name]) > room:
                asking.append(heapq.heappop(held[name])[1])
        return {key: name for name, kept in held.items() for _, key in kept}

    # -- peers

    def listens(self, count: int) -> dict[str, list[str]]:
        """Whom each server listens to: its next in `count` rings of all names, each ring in an order of its
        own.

        Each is heard by `count` others and hears as many (fewer where two rings agree), so nobody is a hub.
        A name that comes or goes changes two places in each ring. With three rings what one knows reaches
        all in about log2(n) steps; with any 10 % gone, those left still reach each other but for one in a
        few thousand.
        """
        out: dict[str, list[str]] = {name: [] for name in self.names}
        for ring in range(count):
            order = sorted(self.names, key=lambda name: (self.weight(name, f"ring {ring}"), name))
            for at, name in enumerate(order):
                other = order[(at + 1) % len(order)]
                if other != name and other not in out[name]:
                    out[name].append(other)
        return out
