"""Subsets against slow plain models: one answer, bounded load, little movement, distinct shards."""

import itertools
import math
import random

import pytest
import xxhash

from vetchford.subsetting.subsets import MAX_LOAD_FACTOR, MembershipView


def names(count):
    return [f"server-{n:03}" for n in range(count)]


def plain_weight(seed, name, key):
    return xxhash.xxh3_64_intdigest(f"{len(seed)}:{seed}{len(name)}:{name}{key}")


def plain_owners(view, keys, slack=MAX_LOAD_FACTOR):
    """Rounds of applications until no key is rejected: the textbook's algorithm, with all ranks."""
    capacity = max(1, math.ceil(slack * len(keys) / len(view.names)))
    applications, accepted = dict.fromkeys(keys, 0), {name: set() for name in view.names}
    applying = set(keys)
    while applying:
        for key in applying:
            order = sorted(view.names, key=lambda name: (-plain_weight(view.seed, name, key), name))  # noqa: B023
            accepted[order[applications[key]]].add(key)
            applications[key] += 1
        applying = set()
        for name, kept in accepted.items():
            for key in sorted(kept, key=lambda key: -plain_weight(view.seed, name, key))[capacity:]:  # noqa: B023
                kept.remove(key)
                applying.add(key)
    return {key: name for name, kept in accepted.items() for key in kept}


def test_owners_agree_with_the_plain_model_and_not_with_the_order_of_names():
    chance = random.Random(1)
    for _ in range(30):
        some, keys = names(chance.randint(1, 12)), [f"k{n}" for n in range(chance.randint(0, 80))]
        shuffled = chance.sample(some, len(some))
        one, other = MembershipView(some, "s"), MembershipView(shuffled + shuffled[:2], "s")
        assert one.owners(keys) == other.owners(reversed(keys)) == plain_owners(one, keys)


@pytest.mark.parametrize("count", [3, 10, 100])
def test_the_load_of_the_fullest_is_bounded_and_a_join_or_a_leave_moves_few_keys(count):
    keys = [f"tenant-{n}" for n in range(60 * count)]
    some = names(count)
    before, joined = MembershipView(some, "s").owners(keys), MembershipView([*some, "new"], "s").owners(keys)
    loads = [list(before.values()).count(name) for name in some]
    assert sorted(before) == sorted(keys) and max(loads) <= -(-MAX_LOAD_FACTOR * len(keys) // count)
    moved = sum(before[key] != joined[key] for key in keys) / len(keys)
    assert moved <= 2.0 / (count + 1)
    left = MembershipView(some[1:], "s").owners(keys)
    assert sum(before[key] != left[key] for key in keys) / len(keys) <= 2.0 / count
    assert MembershipView([], "s").owners(keys) == {}


def test_a_shard_changes_in_one_place_when_a_server_joins_or_leaves_and_two_are_rarely_equal():
    some = names(40)
    view = MembershipView(some, "s")
    shards = {f"t{n}": view.shard(f"t{n}", 4) for n in range(300)}
    assert all(len(set(shard)) == 4 for shard in shards.values())
    for gone in (some[3], some[17]):
        less = MembershipView([name for name in some if name != gone], "s")
        for tenant, shard in shards.items():
            now = less.shard(tenant, 4)
            assert (now == shard) if gone not in shard else len(set(now) & set(shard)) == 3
    alike = sum(set(a) == set(b) for a, b in itertools.combinations(shards.values(), 2))
    assert alike <= 3  # 44,850 pairs, one in 91,390 by chance
    assert MembershipView(some[:3], "s").shard("t", 5) == MembershipView(some[:3], "s").ranked("t")


def test_a_shard_is_spread_over_zones_of_unequal_size():
    some = names(21)
    zones = {name: "abc"[0 if n < 14 else 1 if n < 20 else 2] for n, name in enumerate(some)}
    view = MembershipView(some, "s", zones)
    for n in range(100):
        shard = view.shard(f"t{n}", 4)
        assert len(set(shard)) == 4 and {zones[name] for name in shard} == {"a", "b", "c"}


def test_weights_of_names_that_differ_by_one_character_or_concatenate_alike_are_unrelated():
    view = MembershipView(["a", "b", "ab", "aa"], "s")
    weights = {view.weight(name, key) for name in view.names for key in ("x", "bx", "ax")}
    assert len(weights) == 12
    first = [MembershipView([f"n{n}" for n in range(10)], "s").ranked(f"key-{k}")[0] for k in range(2000)]
    assert max(first.count(f"n{n}") for n in range(10)) < 1.3 * 200


@pytest.mark.parametrize("count", [2, 10, 60, 300])
def test_no_server_is_a_hub_and_all_reach_each_other_also_with_a_tenth_gone(count):
    view, chance = MembershipView(names(count), "s"), random.Random(3)
    rings = view.ring_successors(3)
    heard = [name for listened in rings.values() for name in listened]
    assert max(heard.count(name) for name in view.names) <= 3 and all(rings.values())
    gone = set(chance.sample(view.names, count // 10))
    for away in (set(), gone):
        reached, edge = set(), [next(name for name in view.names if name not in away)]
        steps = 0
        while edge:
            reached |= set(edge)
            edge = sorted({n for name in edge for n in rings[name] if n not in reached and n not in away})
            steps += bool(edge)
        assert len(reached) >= 0.99 * (count - len(away)) and steps <= 2 * count.bit_length() + 2
