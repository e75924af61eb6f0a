"""Settings files: unification, located errors for mistakes and conflicts, and hostile input."""

import random
import time
from pathlib import Path

import pytest

from vetchford.configuration import reader
from vetchford.configuration.errors import MAX_REPORTED_PROBLEMS, SettingsError

VALID_SETTINGS = 'version: 1\npools: gate: {stages: ["check"], share: 20%, reserve: 1}\n'


def read(*texts, request_classes=None):
    sources = [reader.SourceText(f"f{index}.vet", text) for index, text in enumerate(texts)]
    return reader.read_sources(sources, request_classes)


def problems_of(*texts, request_classes=None):
    """Return the error lines for files that must be refused."""
    with pytest.raises(SettingsError) as caught:
        read(*texts, request_classes=request_classes)
    return [str(problem) for problem in caught.value.problems]


def test_defaults_units_comments_and_references_come_out_as_typed_records():
    declared = read(
        """
        // a comment
        version: 1
        #usual: 0.25                       // shared below
        pools: {
            gate: {stages: ["check"], share: #usual, call_budget: 1.5s}
            pay: {
                stages: ["charge",
                         "refund"]
                share: 50%; bytes: pools.gate.share
            }
        }
    """.replace(";", ",")
    )
    gate, pay = declared.pools["gate"], declared.pools["pay"]
    assert (gate.share, gate.bytes, gate.call_budget, gate.reserve) == (0.25, 0.25, 1500.0, 0)
    assert (pay.stages, pay.share, pay.bytes, pay.calls, pay.lends) == (
        ["charge", "refund"],
        0.5,
        0.25,
        0.5,
        True,
    )
    assert pay.call_budget is None
    assert read("version: 1").pools == "none" and read('version: 1\npools: "derived"').pools == "derived"


def test_another_file_overrides_defaults_and_a_conflict_names_both_locations():
    defaults = 'version: 1\npools: gate: {stages: ["check"], share: *20% | number}\n'
    assert read(defaults).pools["gate"].share == 0.2
    overridden = read(defaults, 'pools: gate: share: 30%\npools: pay: {stages: ["charge"], share: 0.5}')
    assert overridden.pools["gate"].share == overridden.pools["gate"].bytes == 0.3 and list(
        overridden.pools
    ) == [
        "gate",
        "pay",
    ]
    assert problems_of(VALID_SETTINGS, "\n pools: gate: share: 30%") == [
        "f0.vet:2:41: pools.gate.share: 20% conflicts with 30% at f1.vet:2:22"
    ]
    assert "f1.vet:1:21: pools.gate.share: found 7" in problems_of(defaults, "pools: gate: share: 7")[0]


@pytest.mark.parametrize(
    ("text", "expected_parts"),
    [
        ("", ["f0.vet:1:1: version: is missing; allowed: a whole number"]),
        ("version: 2", ["f0.vet:1:10: version: found 2; allowed: a whole number, 1 or more, 1 at most"]),
        ("version: 1\nversion: 1.5", ["f0.vet:1:10: version: 1 conflicts with 1.5 at f0.vet:2:10"]),
        ("version: 1\npools: 5", ['f0.vet:2:8: pools: found 5; allowed: "none" or "derived" or a record']),
        (
            "version: 1\npool: {}",
            ["f0.vet:2:1: pool: found the unknown key 'pool' (did you mean 'pools'?)"],
        ),
        (
            'version: 1\npools: a: {share: "half"}',
            [
                'f0.vet:2:19: pools.a.share: found "half"; allowed: a number',
                "f0.vet:2:8: pools.a.stages[0]: is missing",
            ],
        ),
        (
            "version: 1\npools: a: {stages: [], share: 1}",
            ["f0.vet:2:20: pools.a.stages: found a list of 0; allowed: 1 or more (by schema.vet:7:10)"],
        ),
        (
            'version: 1\npools: a: {stages: ["x y"], share: 1}',
            ['pools.a.stages[0]: found "x y"; allowed: a word'],
        ),
        (
            'version: 1\npools: a: {stages: ["x"], share: 1, call_budget: 1.5}',
            ["f0.vet:2:50: pools.a.call_budget: found 1.5; allowed: a duration such as 250ms"],
        ),
        (
            'version: 1\npools: a: {stages: ["x"], share: 1, call_budget: 5parsec}',
            ["found 5parsec; allowed units: us, ms"],
        ),
        (
            'version: 1\npools: a: {stages: ["x"], share: 1e999}',
            ["f0.vet:2:34: found 1e999, which is too large"],
        ),
        (
            'version: 1\npools: a: {stages: ["x"], share: nix}',
            ["found a reference to 'nix', which is not defined"],
        ),
        (
            'version: 1\npools: a: {stages: ["x"], share: 1, lends: 1}',
            ["pools.a.lends: found 1; allowed: true or"],
        ),
        ('version: 1\n#a: #b\n#b: #a\npools: a: {stages: ["x"], share: #a}', ["refers to itself"]),
        (
            'version: 1\npools: a: {stages: ["x"], share: *0.1 | *0.2}',
            ["is ambiguous: several values remain"],
        ),
        ("version: 1\n#L: {a: #L}\npools: #L", ["found the unknown key 'a'"]),
        ("version: 1 @", ["f0.vet:1:12: found '@'; allowed here: "]),
        ("version: 1\npools: {", ["found the end of the file; allowed here: "]),
    ],
)
def test_a_mistake_is_reported_with_location_path_found_value_and_allowed_values(text, expected_parts):
    lines = problems_of(text)
    for part in expected_parts:
        assert any(part in line for line in lines), (part, lines)
    assert len(lines) == len(expected_parts)


def test_all_mistakes_of_a_file_are_reported_at_once_in_the_order_of_their_locations():
    syntax_problems = problems_of("version: 1\npools: {gate: {stages: [] share 3}\n b: : 4\n}\nx: [1,,]\n @")
    assert [line.split(":")[1] for line in syntax_problems] == ["2", "3", "5", "6"]
    value_problems = problems_of(
        'version: 1\npools: {a: {stages: ["x"], share: 9, reserve: 99}\nb: {stages: [7], shar: 1}}'
    )
    assert [line.split(" ")[1] for line in value_problems] == [
        "pools.a.share:",
        "pools.a.reserve:",
        "pools.b.share:",
        "pools.b.stages[0]:",
        "pools.b.shar:",
    ]
    assert (
        len(
            problems_of("version: 1\npools: {\n" + "".join(f"p{n}: {{share: 9}}\n" for n in range(200)) + "}")
        )
        == MAX_REPORTED_PROBLEMS
    )


def test_a_request_class_must_be_in_one_pool_only_and_known_to_the_server():
    in_two_pools = VALID_SETTINGS + 'pools: pay: {stages: ["check"], share: 0.5}'
    assert problems_of(in_two_pools) == [
        "f0.vet:3:14: pools.pay.stages: found 'check', which is also in pool 'gate' "
        "(at f0.vet:2:15); allowed: each request class in one pool only"
    ]
    assert (
        "not a request class of this server; allowed: pay, quote"
        in problems_of(VALID_SETTINGS, request_classes=["pay", "quote"])[0]
    )


def test_unreadable_files_are_reported_together_with_the_others(tmp_path):
    (tmp_path / "a.vet").write_bytes(b"version: \xff")
    (tmp_path / "b.vet").write_text("version: : 1")
    with pytest.raises(SettingsError) as caught:
        reader.read([str(tmp_path / name) for name in ("a.vet", "b.vet", "none.vet")])
    assert len(caught.value.problems) == 3


@pytest.mark.parametrize(
    "text",
    [
        "{" * 100_000,
        "x: [" * 2000,
        "a: " * 50_000,
        "version: 1\n" + "x: " + "(" * 3000,
        "x: " + "9" * 200_000,
        'x: "' + "a" * 200_000,
        "\0" * 1000,
        "x: 1\n" * 60_000,
        "version: 1\n#a0: [1]\n"
        + "".join(f"#a{n}: [#a{n - 1}, #a{n - 1}, #a{n - 1}]\n" for n in range(1, 40))
        + "pools: #a39",
        "version: 1\npools: " + " & ".join(["(*1 | 2 | 3 | 4)"] * 40),
        "version: 1\n" + "pools: " + " | ".join(f"{{a{n}: 1}}" for n in range(3000)),
        "version: 1\n#a: {" + "b: {" * 40 + "}" * 40 + "}\npools: #a",
        "version: 1\n#a: {b: #a & {c: #a}}\npools: #a & {...}",
    ],
)
def test_hostile_input_is_refused_within_seconds(text):
    started_at_s = time.monotonic()
    assert problems_of(text)
    assert time.monotonic() - started_at_s < 15.0  # s; each input takes under 2 s, only a hang takes longer


@pytest.mark.parametrize("seed", range(4))
def test_corrupted_files_are_read_or_refused_without_other_errors(seed):
    rng, valid_texts = (
        random.Random(seed),
        (reader.schema(), VALID_SETTINGS, Path("deploy/pools.vet").read_text()),
    )
    replacements = [
        "{",
        "}",
        "[",
        "]",
        "(",
        ")",
        ":",
        "&",
        "|",
        "*",
        "...",
        "_",
        "#Pool",
        "share",
        '"',
        "1",
        "%",
        ">=",
        "\n",
        ",",
        "?",
        "\\",
        "\ud7ff",
        "[word]:",
        "number",
        "5ms",
    ]
    outcomes = set()
    for _ in range(120):
        text = list(rng.choice(valid_texts))
        for _ in range(rng.choice((1, 1, 2, 5, 30))):
            position = rng.randrange(len(text) + 1)
            text[position : position + rng.choice((0, 1, 1, 4, 40))] = rng.choice(
                (rng.choice(replacements), "")
            )
        try:
            read("".join(text))
            outcomes.add("read")
        except SettingsError as problem:
            assert problem.problems and all(reported.message for reported in problem.problems)
            outcomes.add("refused")
    assert outcomes == {"read", "refused"}
