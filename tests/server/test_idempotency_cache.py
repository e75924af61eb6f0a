"""The idempotency cache under random operations, compared with a plain list."""

import random

from vetchford.server.idempotency_cache import IdempotencyCache, RunResult


def test_the_cache_matches_a_reference_list_of_kept_keys():
    for seed in range(50):
        rng, cache, kept, ended = random.Random(seed), IdempotencyCache(), [], {}
        for index in range(200):
            key, arrived_at = rng.choice("abcde"), float(10 * index)
            matching = [entry for entry in kept if entry[0] == key]
            expected = matching[-1][1] if matching and arrived_at <= matching[-1][2] else None
            assert cache.find_original(key, arrived_at) == expected
            if expected is None:
                kept = [entry for entry in kept if entry[0] != key]
                kept.append((key, index, arrived_at + 45.0))
                cache.remember(key, index, arrived_at + 45.0)
            else:
                if expected in ended:
                    assert cache.results[expected] == (True, str(expected))
                else:
                    cache.add_follower(expected, index)
            if rng.random() < 0.5:
                _, original, _ = rng.choice(kept)
                if original not in ended:
                    waiting = cache.run_ended(original, RunResult(True, str(original)))
                    assert waiting == sorted(waiting) and original not in cache.followers
                    ended[original] = True
            if rng.random() < 0.2:
                dropped = rng.choice(kept)
                kept.remove(dropped)
                rng.choice((cache.forget, cache.release))(dropped[1])
        for _, index, _ in kept:
            cache.release(index)
        assert not cache.entries and not cache.keys
