"""Subsets against a reference model: deterministic results, bounded load, few moves, distinct shards."""

import itertools
import math
import random

import pytest
import xxhash

from vetchford.subsetting.subsets import MAX_LOAD_FACTOR, MembershipView


def names(count):
    return [f"server-{n:03}" for n in range(count)]


def reference_weight(seed, name, key):
    return xxhash.xxh3_64_intdigest(f"{len(seed)}:{seed}{len(name)}:{name}{key}")


def reference_owners(view, keys, max_load_factor=MAX_LOAD_FACTOR):
    """Return owners by deferred acceptance with all ranks, in rounds until no key is rejected."""
    capacity = max(1, math.ceil(max_load_factor * len(keys) / len(view.names)))
    applications, accepted = dict.fromkeys(keys, 0), {name: set() for name in view.names}
    applying = set(keys)
    while applying:
        for key in applying:
            order = sorted(view.names, key=lambda name: (-reference_weight(view.seed, name, key), name))  # noqa: B023
            accepted[order[applications[key]]].add(key)
            applications[key] += 1
        applying = set()
        for name, owned in accepted.items():
            for key in sorted(owned, key=lambda key: -reference_weight(view.seed, name, key))[capacity:]:  # noqa: B023
                owned.remove(key)
                applying.add(key)
    return {key: name for name, owned in accepted.items() for key in owned}


def test_owners_agree_with_the_reference_model_and_do_not_depend_on_the_order_of_names():
    rng = random.Random(1)
    for _ in range(30):
        server_names, keys = names(rng.randint(1, 12)), [f"k{n}" for n in range(rng.randint(0, 80))]
        shuffled = rng.sample(server_names, len(server_names))
        view, shuffled_view = MembershipView(server_names, "s"), MembershipView(shuffled + shuffled[:2], "s")
        assert view.owners(keys) == shuffled_view.owners(reversed(keys)) == reference_owners(view, keys)


@pytest.mark.parametrize("count", [3, 10, 100])
def test_the_load_of_each_owner_is_bounded_and_a_server_that_joins_or_leaves_moves_few_keys(count):
    keys = [f"tenant-{n}" for n in range(60 * count)]
    server_names = names(count)
    owners_before, owners_after_join = (
        MembershipView(server_names, "s").owners(keys),
        MembershipView([*server_names, "new"], "s").owners(keys),
    )
    loads = [list(owners_before.values()).count(name) for name in server_names]
    assert sorted(owners_before) == sorted(keys) and max(loads) <= -(-MAX_LOAD_FACTOR * len(keys) // count)
    moved = sum(owners_before[key] != owners_after_join[key] for key in keys) / len(keys)
    assert moved <= 2.0 / (count + 1)
    owners_after_leave = MembershipView(server_names[1:], "s").owners(keys)
    assert sum(owners_before[key] != owners_after_leave[key] for key in keys) / len(keys) <= 2.0 / count
    assert MembershipView([], "s").owners(keys) == {}


def test_a_server_that_joins_or_leaves_changes_one_server_of_a_shard_and_two_shards_are_rarely_equal():
    server_names = names(40)
    view = MembershipView(server_names, "s")
    shards = {f"t{n}": view.shard(f"t{n}", 4) for n in range(300)}
    assert all(len(set(shard)) == 4 for shard in shards.values())
    for removed in (server_names[3], server_names[17]):
        smaller_view = MembershipView([name for name in server_names if name != removed], "s")
        for tenant, shard in shards.items():
            new_shard = smaller_view.shard(tenant, 4)
            assert (new_shard == shard) if removed not in shard else len(set(new_shard) & set(shard)) == 3
    equal_pairs = sum(set(a) == set(b) for a, b in itertools.combinations(shards.values(), 2))
    assert equal_pairs <= 3  # 44,850 pairs; the probability of a pair is 1 in 91,390
    assert MembershipView(server_names[:3], "s").shard("t", 5) == MembershipView(
        server_names[:3], "s"
    ).ranked("t")


def test_a_shard_is_spread_over_zones_of_unequal_size():
    server_names = names(21)
    zones = {name: "abc"[0 if n < 14 else 1 if n < 20 else 2] for n, name in enumerate(server_names)}
    view = MembershipView(server_names, "s", zones)
    for n in range(100):
        shard = view.shard(f"t{n}", 4)
        assert len(set(shard)) == 4 and {zones[name] for name in shard} == {"a", "b", "c"}


def test_weights_of_similar_names_and_of_equal_concatenations_are_unrelated():
    view = MembershipView(["a", "b", "ab", "aa"], "s")
    weights = {view.weight(name, key) for name in view.names for key in ("x", "bx", "ax")}
    assert len(weights) == 12
    first_choices = [
        MembershipView([f"n{n}" for n in range(10)], "s").ranked(f"key-{k}")[0] for k in range(2000)
    ]
    assert max(first_choices.count(f"n{n}") for n in range(10)) < 1.3 * 200


@pytest.mark.parametrize("count", [2, 10, 60, 300])
def test_no_server_is_a_hub_and_the_others_reach_each_other_without_a_tenth_of_the_servers(count):
    view, rng = MembershipView(names(count), "s"), random.Random(3)
    rings = view.ring_successors(3)
    successors = [name for successors_of_one in rings.values() for name in successors_of_one]
    assert max(successors.count(name) for name in view.names) <= 3 and all(rings.values())
    removed = set(rng.sample(view.names, count // 10))
    for excluded in (set(), removed):
        reached, frontier = set(), [next(name for name in view.names if name not in excluded)]
        steps = 0
        while frontier:
            reached |= set(frontier)
            frontier = sorted(
                {n for name in frontier for n in rings[name] if n not in reached and n not in excluded}
            )
            steps += bool(frontier)
        assert len(reached) >= 0.99 * (count - len(excluded)) and steps <= 2 * count.bit_length() + 2
