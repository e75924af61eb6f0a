"""The scanner of long lines, compared with a parser of whole lines."""

import json
import random
import tracemalloc

import pytest

from vetchford.protocol.line_scanner import TOO_LONG, LineScanner, MalformedLineError

WANTED = frozenset(("type", "n", "data"))
MAX_VALUE_BYTES = 40


def random_value(rng, depth=0):
    kinds = ["text", "number", "constant"] + (["list", "object"] if depth < 3 else [])
    kind = rng.choice(kinds)
    if kind == "text":
        return "".join(rng.choice('ab"\\[]{},:é\n ') for _ in range(rng.choice((0, 3, 60))))
    if kind == "list":
        return [random_value(rng, depth + 1) for _ in range(rng.randrange(4))]
    if kind == "object":
        return {f"k{index}": random_value(rng, depth + 1) for index in range(rng.randrange(4))}
    return rng.choice((None, True, -1.5e3, 7))


def scan_in_pieces(line, rng):
    scanner = LineScanner(WANTED, MAX_VALUE_BYTES)
    position = 0
    while position < len(line):
        size = rng.choice((1, 2, 5, 1000))
        scanner.feed(line[position : position + size])
        position += size
    return scanner.finish()


def test_the_wanted_fields_are_those_of_a_whole_parser_however_the_line_is_split():
    kept = dropped = 0
    for seed in range(1000):
        rng = random.Random(seed)
        keys = rng.sample(("type", "n", "data", "x", "long key " * 20, 'a"b\\'), rng.randrange(7))
        message = {key: random_value(rng) for key in keys}
        separators = rng.choice(((",", ":"), (" , ", " : ")))
        line = json.dumps(message, separators=separators, ensure_ascii=rng.random() < 0.5).encode()
        fields = scan_in_pieces(line, rng)
        assert fields.keys() == message.keys() & WANTED, seed
        for key, value in fields.items():
            if value is TOO_LONG:
                longest = json.dumps(message[key], separators=(" , ", " : ")).encode()
                assert len(longest) + 2 > MAX_VALUE_BYTES, seed
                dropped += 1
            else:
                assert value == message[key], seed
                kept += 1
    assert kept > 300 and dropped > 100


@pytest.mark.parametrize(
    "line",
    [b"", b"x", b"[]", b"{", b"{}}", b"{} {}", b'{"n"}', b'{"n":x}', b'{"n":1:2}', b"{1:2}", b'{"n":"', b"}"],
)
def test_a_line_that_is_not_one_object_is_malformed(line):
    scanner = LineScanner(WANTED, MAX_VALUE_BYTES)
    with pytest.raises(MalformedLineError):
        scanner.feed(line)
        scanner.finish()


def test_memory_is_bounded_for_long_values_and_very_many_short_fields():
    # Guards against a line that the scanner keeps instead of skipping.
    scanner = LineScanner(WANTED, MAX_VALUE_BYTES)
    tracemalloc.start()
    scanner.feed(b'{"data":"')
    for _ in range(500):
        scanner.feed(b"x" * 10_000)
    scanner.feed(b'"')
    for index in range(50_000):
        scanner.feed(b',"k%d":{"a":[1]}' % index)
    scanner.feed(b',"n":7}')
    _, peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert scanner.finish() == {"data": TOO_LONG, "n": 7}
    assert peak_bytes < 100_000
