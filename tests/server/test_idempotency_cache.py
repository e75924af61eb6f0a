"""The idempotency cache under random operations, compared with a plain list."""

import random

from vetchford.server.idempotency_cache import IdempotencyCache, RunResult


def test_the_cache_matches_a_reference_list_of_kept_keys():
    for seed in range(50):
        rng, cache, kept, ended = random.Random(seed), IdempotencyCache(), [], {}
        for index in range(200):
            key, arrived_at = rng.choice("abcde"), float(10 * index - rng.choice((0, 0, 30)))
            matching = [entry for entry in kept if entry[0] == key and arrived_at <= entry[2]]
            expected = matching[0][1] if matching else None
            assert cache.find_original(key, arrived_at) == expected
            if expected is None:
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


def test_a_repeat_within_the_window_that_is_read_after_the_next_original_is_a_repeat_of_the_first():
    # Guards against a second run: the next original, still queued, was taken for the one that it repeats.
    cache = IdempotencyCache()
    cache.remember("key", 1, expires_unix_ms=13_000.0)
    cache.run_ended(1, RunResult(True, "first"))
    assert cache.find_original("key", 13_001.0) is None
    cache.remember("key", 2, expires_unix_ms=26_001.0)
    assert cache.find_original("key", 13_000.0) == 1 and cache.results[1].content == "first"
    assert cache.find_original("key", 13_002.0) == 2
    cache.release(1)
    assert cache.find_original("key", 13_000.0) == 2
    cache.release(2)
    assert not cache.entries and not cache.keys and not cache.results
