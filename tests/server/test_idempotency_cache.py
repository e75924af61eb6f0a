"""The idempotency cache against a plain list."""

import random

from vetchford.server.idempotency_cache import IdempotencyCache, RunResult


def test_the_cache_matches_a_reference_list_of_kept_keys():
    for seed in range(50):
        chance, cache, plain, ended = random.Random(seed), IdempotencyCache(), [], {}
        for index in range(200):
            key, arrived_at = chance.choice("abcde"), float(10 * index)
            live = [entry for entry in plain if entry[0] == key]
            expected = live[-1][1] if live and arrived_at <= live[-1][2] else None
            assert cache.find_original(key, arrived_at) == expected
            if expected is None:
                plain = [entry for entry in plain if entry[0] != key]
                plain.append((key, index, arrived_at + 45.0))
                cache.remember(key, index, arrived_at + 45.0)
            else:
                if expected in ended:
                    assert cache.results[expected] == (True, str(expected))
                else:
                    cache.add_follower(expected, index)
            if chance.random() < 0.5:
                _, done, _ = chance.choice(plain)
                if done not in ended:
                    waiting = cache.run_ended(done, RunResult(True, str(done)))
                    assert waiting == sorted(waiting) and done not in cache.followers
                    ended[done] = True
            if chance.random() < 0.2:
                gone = chance.choice(plain)
                plain.remove(gone)
                chance.choice((cache.forget, cache.release))(gone[1])
        for _, index, _ in plain:
            cache.release(index)
        assert not cache.entries and not cache.keys
