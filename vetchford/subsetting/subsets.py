"""Assignment of servers: shards of tenants, owners of keys with bounded load, gossip partners.

No I/O. All results depend only on a view of the fleet (a set of names) and a seed shared by the fleet:
servers with the same view compute the same results, regardless of the order of the names and of earlier
calls. If two views differ in d of n names, results differ where one of the d names is among the selected ones
in either view; each method states by how much.

Weights are XXH3 hashes of seed, name and key (xxhash), so the weights of similar names are unrelated.
Rendezvous hashing: Thaler and Ravishankar, 1998. Shuffle sharding: MacCarthaigh, 2014. Bounded loads: after
Mirrokni, Thorup and Zadimoghaddam, 2016, with deferred acceptance (Gale and Shapley, 1962) in place of
probing.
"""

import heapq
import math
from collections.abc import Iterable, Mapping

import xxhash

MAX_LOAD_FACTOR = 1.15  # maximum number of keys of an owner, as a multiple of the mean
FIRST_CHOICES = 8  # names ranked per key at first; all are ranked for a key that these reject


class MembershipView:
    """A fixed set of names and the assignments computed from it; any thread may read it."""

    def __init__(self, names: Iterable[str], seed: str, zones: Mapping[str, str] | None = None) -> None:
        """Accept the names in any order.

        Args:
            names: Known servers of the fleet.
            seed: Seed shared by the fleet.
            zones: Zone of each name, if known; shards are spread over zones.
        """
        self.names = sorted(set(names))
        self.seed = seed
        self.zones = dict(zones or {})

    def weight(self, name: str, key: str) -> int:
        """Return the 64-bit weight of a name for a key; lengths separate the hashed parts."""
        return xxhash.xxh3_64_intdigest(f"{len(self.seed)}:{self.seed}{len(name)}:{name}{key}")

    def ranked(self, key: str, limit: int | None = None) -> list[str]:
        """Return the names by decreasing weight for a key; equal weights are ordered by name.

        A name that joins or leaves does not change the order of the others.
        """
        weighted_names = ((-self.weight(name, key), name) for name in self.names)
        if limit is None:
            return [name for _, name in sorted(weighted_names)]
        return [name for _, name in heapq.nsmallest(limit, weighted_names)]

    def shard(self, tenant: str, size: int) -> list[str]:
        """Return the servers of one tenant: from as many zones as possible, then by weight.

        Two tenants have the same shard with a probability of 1 / C(n, size). Without zones, a name that joins
        or leaves replaces at most one server of a shard, and only in size / n of the shards.
        """
        ranked = self.ranked(tenant)
        if not self.zones or size >= len(ranked):
            return ranked[:size]
        return self._interleave_zones(ranked)[:size]

    def owners(
        self, keys: Mapping[str, float] | Iterable[str], max_load_factor: float = MAX_LOAD_FACTOR
    ) -> dict[str, str]:
        """Return an owner for each key; none owns more than `max_load_factor` times the mean number of keys.

        Keys apply to servers by rank, and servers accept the applications with the highest weight; the result
        does not depend on the order of applications. A name that joins takes keys from all servers equally,
        and the keys of one that leaves are distributed over all. Other keys move only if a fuller server
        rejects them.
        """
        sorted_keys = sorted(keys)
        if not self.names:
            return {}
        capacity = max(1, math.ceil(max_load_factor * len(sorted_keys) / len(self.names)))
        choices = {key: self.ranked(key, FIRST_CHOICES) for key in sorted_keys}
        applications = dict.fromkeys(sorted_keys, 0)  # number made so far
        accepted: dict[str, list[tuple[int, str]]] = {
            name: [] for name in self.names
        }  # heaps, lowest weight first
        unassigned = list(reversed(sorted_keys))
        while unassigned:
            key = unassigned.pop()
            if applications[key] == len(choices[key]):
                choices[key] = self._rank_all_servers(key, choices[key])
            name = choices[key][applications[key]]
            applications[key] += 1
            heapq.heappush(accepted[name], (self.weight(name, key), key))
            if len(accepted[name]) > capacity:
                _, rejected_key = heapq.heappop(accepted[name])
                unassigned.append(rejected_key)
        return {key: name for name, owned in accepted.items() for _, key in owned}

    def ring_successors(self, count: int) -> dict[str, list[str]]:
        """Return the successors of each name in `count` rings of all names, each with its own order.

        Each name has `count` successors and is a successor of `count` others (fewer if two rings agree), so
        no name is a hub. A name that joins or leaves changes two places in each ring. With three rings,
        information from one server reaches all in about log2(n) steps; if any 10 % of the servers are
        missing, the others still reach each other, except for one in a few thousand.
        """
        successors: dict[str, list[str]] = {name: [] for name in self.names}
        for ring in range(count):
            order = sorted(self.names, key=lambda name: (self.weight(name, f"ring {ring}"), name))
            for index, name in enumerate(order):
                successor = order[(index + 1) % len(order)]
                if successor != name and successor not in successors[name]:
                    successors[name].append(successor)
        return successors

    def _interleave_zones(self, ranked: list[str]) -> list[str]:
        """Return the names, one of each zone per round; zones are ordered by their highest-ranked name."""
        names_by_zone: dict[str, list[str]] = {}
        for name in ranked:
            names_by_zone.setdefault(self.zones.get(name, ""), []).append(name)
        rounds = range(max(map(len, names_by_zone.values())))
        return [names[index] for index in rounds for names in names_by_zone.values() if index < len(names)]

    def _rank_all_servers(self, key: str, rejected_by: list[str]) -> list[str]:
        if len(rejected_by) == len(self.names):
            raise ValueError(
                f"no server has capacity left for key {key}"
            )  # can't occur: capacity * n >= keys
        return self.ranked(key)
