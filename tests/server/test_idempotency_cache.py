"""The idempotency cache against a plain list."""

import random

from vetchford.server.idempotency_cache import IdempotencyCache, RunResult


def test_idempotency_keys_agree_with_a_plain_list_of_what_was_kept():
    for seed in range(50):
        chance, cache, plain, ended = random.Random(seed), IdempotencyCache(), [], {}
        for q in range(200):
            mark, door = chance.choice("abcde"), float(10 * q)
            live = [entry for entry in plain if entry[0] == mark]
            expected = live[-1][1] if live and door <= live[-1][2] else None
            assert cache.find_original(mark, door) == expected
            if expected is None:
                plain = [entry for entry in plain if entry[0] != mark]
                plain.append((mark, q, door + 45.0))
                cache.remember(mark, q, door + 45.0)
            else:
                if expected in ended:
                    assert cache.results[expected] == (True, str(expected))
                else:
                    cache.add_follower(expected, q)
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
        for _, q, _ in plain:
            cache.release(q)
        assert not cache.entries and not cache.keys
