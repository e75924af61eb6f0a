"""Which servers deal with which: shards of tenants, owners of keys with bounded load, partners of gossip.

No I/O. All of it follows from a view of the fleet (a set of names), a seed that the fleet shares and nothing
else: whoever has the same view has the same answer, in whatever order the names came and whatever was asked
before. Where views differ by d of n names, answers differ where one of the d is or was among those chosen;
each method says how far.

Weights are XXH3 of seed, name and key (xxhash), so names that differ by one character are as far apart as
any. Rendezvous hashing: Thaler and Ravishankar, 1998. Shuffle sharding: MacCarthaigh, 2014. Bounded loads:
after Mirrokni, Thorup and Zadimoghaddam, 2016, by deferred acceptance (Gale and Shapley, 1962) in place of
probing.
"""

import heapq
import math
from collections.abc import Iterable, Mapping

import xxhash

MAX_LOAD_FACTOR = 1.15  # of the mean, that the fullest owner has
FIRST_CHOICES = 8  # that are ranked at once; more only for keys that are rejected that often


class MembershipView:
    """A set of names and what follows from it; made anew when the set changes. May be read by any thread."""

    def __init__(self, names: Iterable[str], seed: str, zones: Mapping[str, str] | None = None) -> None:
        """Takes the names in any order.

        Args:
            names: The fleet as it is seen.
            seed: Shared by the fleet.
            zones: The zone of each name where it is known; shards are spread over them.
        """
        self.names = sorted(set(names))
        self.seed = seed
        self.zones = dict(zones or {})

    def weight(self, name: str, key: str) -> int:
        """The weight of a name for a key, of 64 bits; lengths separate the parts that are hashed."""
        return xxhash.xxh3_64_intdigest(f"{len(self.seed)}:{self.seed}{len(name)}:{name}{key}")

    def ranked(self, key: str, limit: int | None = None) -> list[str]:
        """The names by their weight for a key, the heaviest first; equal weights by name.

        A name that joins or leaves changes the order of no two others.
        """
        scored = ((-self.weight(name, key), name) for name in self.names)
        if limit is None:
            return [name for _, name in sorted(scored)]
        return [name for _, name in heapq.nsmallest(limit, scored)]

    def shard(self, tenant: str, size: int) -> list[str]:
        """The servers of one tenant: of as many zones as there are, then the heaviest.

        Two tenants share all of theirs in one of C(n, size) cases. A name that joins or leaves changes one
        place of a shard at most without zones, and is in size / n of the shards.
        """
        ranked = self.ranked(tenant)
        if not self.zones or size >= len(ranked):
            return ranked[:size]
        return self._one_of_each_zone_in_turn(ranked)[:size]

    def owners(
        self, keys: Mapping[str, float] | Iterable[str], max_load_factor: float = MAX_LOAD_FACTOR
    ) -> dict[str, str]:
        """An owner for each key; none owns more than `max_load_factor` times the mean, by count.

        Keys apply by their rank, servers accept the heaviest that apply. The outcome is the same in whatever
        order they do. A name that joins takes from all alike; one that leaves is shared out among all. Beyond
        these only those keys move that a fuller server rejects.
        """
        wanted = sorted(keys)
        if not self.names:
            return {}
        capacity = max(1, math.ceil(max_load_factor * len(wanted) / len(self.names)))
        choices = {key: self.ranked(key, FIRST_CHOICES) for key in wanted}
        applications = dict.fromkeys(wanted, 0)  # made so far
        accepted: dict[str, list[tuple[int, str]]] = {
            name: [] for name in self.names
        }  # heaps, lightest first
        unplaced = list(reversed(wanted))
        while unplaced:
            key = unplaced.pop()
            if applications[key] == len(choices[key]):
                choices[key] = self._all_choices(key, choices[key])
            name = choices[key][applications[key]]
            applications[key] += 1
            heapq.heappush(accepted[name], (self.weight(name, key), key))
            if len(accepted[name]) > capacity:
                _, rejected = heapq.heappop(accepted[name])
                unplaced.append(rejected)
        return {key: name for name, owned in accepted.items() for _, key in owned}

    def ring_successors(self, count: int) -> dict[str, list[str]]:
        """For each name its next in `count` rings of all names, each ring in an order of its own.

        Each is the successor of `count` others and has as many (fewer where two rings agree), so nobody is a
        hub. A name that joins or leaves changes two places in each ring. With three rings what one knows
        reaches all in about log2(n) steps; with any 10 % gone, those left still reach each other but for one
        in a few thousand.
        """
        successors: dict[str, list[str]] = {name: [] for name in self.names}
        for ring in range(count):
            order = sorted(self.names, key=lambda name: (self.weight(name, f"ring {ring}"), name))
            for index, name in enumerate(order):
                successor = order[(index + 1) % len(order)]
                if successor != name and successor not in successors[name]:
                    successors[name].append(successor)
        return successors

    def _one_of_each_zone_in_turn(self, ranked: list[str]) -> list[str]:
        """The names, one of each zone in each round; zones in the order of their heaviest."""
        by_zone: dict[str, list[str]] = {}
        for name in ranked:
            by_zone.setdefault(self.zones.get(name, ""), []).append(name)
        rounds = range(max(map(len, by_zone.values())))
        return [names[index] for index in rounds for names in by_zone.values() if index < len(names)]

    def _all_choices(self, key: str, rejected_by: list[str]) -> list[str]:
        if len(rejected_by) == len(self.names):
            raise ValueError("more keys than capacity")  # can't occur: capacity * n >= keys
        return self.ranked(key)
