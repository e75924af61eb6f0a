"""The form of our settings: what unifies, what conflicts and where, and input that means harm."""

import random
import time
from pathlib import Path

import pytest

from vetchford.configuration import reader
from vetchford.configuration.errors import MAX_REPORTED_PROBLEMS, SettingsError

GOOD = 'version: 1\npools: gate: {stages: ["check"], share: 20%, reserve: 1}\n'


def read(*texts, stages=None):
    sources = [reader.SourceText(f"f{at}.vet", text) for at, text in enumerate(texts)]
    return reader.read_sources(sources, stages)


def wrong(*texts, stages=None):
    with pytest.raises(SettingsError) as caught:
        read(*texts, stages=stages)
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


def test_a_site_s_file_goes_over_defaults_and_a_conflict_names_both_places():
    usual = 'version: 1\npools: gate: {stages: ["check"], share: *20% | number}\n'
    assert read(usual).pools["gate"].share == 0.2
    site = read(usual, 'pools: gate: share: 30%\npools: pay: {stages: ["charge"], share: 0.5}')
    assert site.pools["gate"].share == site.pools["gate"].bytes == 0.3 and list(site.pools) == [
        "gate",
        "pay",
    ]
    assert wrong(GOOD, "\n pools: gate: share: 30%") == [
        "f0.vet:2:41: pools.gate.share: 20% conflicts with 30% at f1.vet:2:22"
    ]
    assert "f1.vet:1:21: pools.gate.share: found 7" in wrong(usual, "pools: gate: share: 7")[0]


@pytest.mark.parametrize(
    ("text", "said"),
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
            ["found a reference to 'nix', which nothing here defines"],
        ),
        (
            'version: 1\npools: a: {stages: ["x"], share: 1, lends: 1}',
            ["pools.a.lends: found 1; allowed: true or"],
        ),
        ('version: 1\n#a: #b\n#b: #a\npools: a: {stages: ["x"], share: #a}', ["refers to itself"]),
        (
            'version: 1\npools: a: {stages: ["x"], share: *0.1 | *0.2}',
            ["is not decided: several values remain"],
        ),
        ("version: 1\n#L: {a: #L}\npools: #L", ["found the unknown key 'a'"]),
        ("version: 1 @", ["f0.vet:1:12: found '@'; allowed here: "]),
        ("version: 1\npools: {", ["found the end of the file; allowed here: "]),
    ],
)
def test_a_mistake_is_told_with_its_place_its_path_what_was_found_and_what_is_allowed(text, said):
    lines = wrong(text)
    for part in said:
        assert any(part in line for line in lines), (part, lines)
    assert len(lines) == len(said)


def test_all_mistakes_of_a_file_are_told_in_one_go_in_the_order_of_their_places():
    form = wrong("version: 1\npools: {gate: {stages: [] share 3}\n b: : 4\n}\nx: [1,,]\n @")
    assert [line.split(":")[1] for line in form] == ["2", "3", "5", "6"]
    meaning = wrong(
        'version: 1\npools: {a: {stages: ["x"], share: 9, reserve: 99}\nb: {stages: [7], shar: 1}}'
    )
    assert [line.split(" ")[1] for line in meaning] == [
        "pools.a.share:",
        "pools.a.reserve:",
        "pools.b.share:",
        "pools.b.stages[0]:",
        "pools.b.shar:",
    ]
    assert (
        len(wrong("version: 1\npools: {\n" + "".join(f"p{n}: {{share: 9}}\n" for n in range(200)) + "}"))
        == MAX_REPORTED_PROBLEMS
    )


def test_stages_are_in_one_pool_and_known_to_the_server():
    two = GOOD + 'pools: pay: {stages: ["check"], share: 0.5}'
    assert wrong(two) == [
        "f0.vet:3:14: pools.pay.stages: found 'check', which pool 'gate' has as well "
        "(at f0.vet:2:15); allowed: one pool for a stage"
    ]
    assert "no stage of this server; allowed: pay, quote" in wrong(GOOD, stages=["pay", "quote"])[0]


def test_files_that_cannot_be_read_are_told_beside_the_others(tmp_path):
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
def test_input_that_means_harm_ends_soon_in_a_plain_refusal(text):
    began = time.monotonic()
    assert wrong(text)
    assert time.monotonic() - began < 15.0  # s; each takes under two, and a hang would take for ever


@pytest.mark.parametrize("seed", range(4))
def test_spoilt_files_are_read_or_refused_and_never_anything_else(seed):
    chance, good = random.Random(seed), (reader.schema(), GOOD, Path("deploy/pools.vet").read_text())
    pieces = [
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
        text = list(chance.choice(good))
        for _ in range(chance.choice((1, 1, 2, 5, 30))):
            at = chance.randrange(len(text) + 1)
            text[at : at + chance.choice((0, 1, 1, 4, 40))] = chance.choice((chance.choice(pieces), ""))
        try:
            read("".join(text))
            outcomes.add("read")
        except SettingsError as problem:
            assert problem.problems and all(one.message for one in problem.problems)
            outcomes.add("refused")
    assert outcomes == {"read", "refused"}
