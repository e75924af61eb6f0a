"""Subsets by size: load of the fullest, what a join moves, tenants that keep a server, fairness, cost of a
choice.

Usage: python -m benchmarks.subsets [--quick]

From the decisions alone, no sockets. Beside the bounded owners the same by rendezvous alone (a baseline),
and a shard of as many servers by tenant number in blocks, where all tenants of a block lose all together.
"""

import json
import random
import sys
import time
from typing import Any

from vetchford.subsetting.subsets import MAX_LOAD_FACTOR, MembershipView

TENANTS, SHARD = 1000, 5
EACH = 100  # keys a server: at 20 chance alone fills a quarter of them, and each join pushes others on


def jain(loads: list[int]) -> float:
    return sum(loads) ** 2 / (len(loads) * sum(load * load for load in loads)) if any(loads) else 1.0


def moved_times_n(names: list[str], keys: list[str], before: dict[str, str]) -> float:
    """What one more name moves, over the least that it must; the mean of three names."""
    moved = 0
    for n in range(3):
        now = MembershipView([*names, f"new{n}"], "fleet").owners(keys)
        moved += sum(before[key] != now[key] for key in keys)
    return round(moved / 3 / len(keys) * (len(names) + 1), 3)


def at(size: int, keys_each: int) -> dict[str, Any]:
    names, chance = [f"s{n:04}" for n in range(size)], random.Random(size)
    keys = [f"k{n}" for n in range(keys_each * size)]
    view = MembershipView(names, "fleet")
    began = time.perf_counter()
    owners = view.owners(keys)
    each = (time.perf_counter() - began) / len(keys)
    loads = {name: 0 for name in names}
    for name in owners.values():
        loads[name] += 1
    plain = {name: 0 for name in names}
    first = {key: view.ranked(key, 1)[0] for key in keys}
    for name in first.values():
        plain[name] += 1
    out: dict[str, Any] = {
        "fullest_over_mean": round(max(loads.values()) / keys_each, 3),
        "rendezvous_alone": round(max(plain.values()) / keys_each, 3),
        "moved_at_a_join_times_n": moved_times_n(names, keys, owners),
        "jain": round(jain(list(loads.values())), 4),
        "owner_ms": round(each * 1000.0, 4),
    }
    if size > SHARD:
        shards = {n: set(view.shard(f"t{n}", SHARD)) for n in range(TENANTS)}
        kept = blocks = 0
        draws = 20
        for _ in range(draws):
            down = set(chance.sample(names, max(1, size // 10)))
            kept += sum(not shard <= down for shard in shards.values())
        first_block = set(names[:SHARD])  # the worst tenth: whole blocks
        down = set(names[: max(1, size // 10)])
        in_blocks = size // SHARD
        blocks = sum(not set(names[n % in_blocks * SHARD :][:SHARD]) <= down for n in range(TENANTS))
        worst = sum(not shard <= down for shard in shards.values())
        out |= {
            "keep_a_server": round(kept / draws / TENANTS, 5),
            "keep_one_of_blocks_at_worst": round(blocks / TENANTS, 4) if first_block <= down else 1.0,
            "keep_one_of_shards_then": round(worst / TENANTS, 4),
        }
    return out


def grows() -> float:
    """The least fairness while a fleet of 10 grows to 60, is halved and replaced in steps."""
    names, keys, least = [f"s{n}" for n in range(10)], [f"k{n}" for n in range(3000)], 1.0
    steps = [*(("add", n) for n in range(10, 60)), *(("drop", n) for n in range(0, 60, 2))]
    for kind, n in steps[::5]:
        names = [*names, f"s{n}"] if kind == "add" else [name for name in names if name != f"s{n}"]
        loads = {name: 0 for name in names}
        for owner in MembershipView(names, "fleet").owners(keys).values():
            loads[owner] += 1
        least = min(least, jain(list(loads.values())))
    return round(least, 4)


def main() -> int:
    quick = "--quick" in sys.argv
    sizes = {size: at(size, EACH) for size in ((3, 10, 100) if quick else (3, 10, 100, 300, 1000))}
    few = at(100, 20)
    print("with 20 keys a server, where the aim on joins is not met:", few, flush=True)
    for size, one in sizes.items():
        print(size, one, flush=True)
    fair = grows()
    good = (
        all(
            one["fullest_over_mean"] <= MAX_LOAD_FACTOR + 0.03 for one in sizes.values()
        )  # a whole key at small means
        and all(one["moved_at_a_join_times_n"] <= 1.1 for one in sizes.values())
        and all(one.get("keep_a_server", 1.0) >= 0.999 for size, one in sizes.items() if size >= 100)
        and fair >= 0.95
    )
    print(
        json.dumps(
            {
                "good": good,
                "quick": quick,
                "sizes": sizes,
                "at_100_with_20_keys_each": few,
                "least_fairness_in_growth": fair,
            }
        )
    )
    return 0 if good else 1


if __name__ == "__main__":
    sys.exit(main())
