"""Simulator link: empty and mixed batches, malformed input, reuse of instance numbers."""

import json

import pytest

from vetchford.bench_adapter.simulator_link import SimulatorLink
from vetchford.errors import MalformedInputError

SETTINGS = {
    "familyInfo": {
        "cores": 2,
        "ramKb": 9000.0,
        "blowup": 8.0,
        "keyKb": 5.0,
        "say": "weight",
        "halt": "drop",
        "ownStats": ["core_use", "on_cores"],
        "below": "shared",
        "depShare": 4.0,
    },
    "requestClasses": [
        {"name": "read", "promise": 1_800_000_000, "deadline": 4_400_000_000, "effect": "read_like"},
        {
            "name": "pay",
            "promise": 1_800_000_000,
            "deadline": 4_400_000_000,
            "effect": "idempotency_key",
            "worth": 3.0,
            "window": 13_000_000_000,
        },
    ],
    "rules": {"fallMultiple": 8.0, "drainGrace": 2_000_000_000},
    "unheard-of": None,
}


def exchange(link, clock, *events):
    line = json.dumps({"time": clock, "happened": events}).encode()
    return json.loads(link.exchange(line))["decisions"]


def attach(number=0, **settings):
    return {"t": "attach", "i": number, "prng": 5, "settings": {**SETTINGS, **settings}}


def ingress(call, number=0, kind="read", **fields):
    return {"t": "ingress", "i": number, "call": call, "type": kind, "memKb": 10.0, "who": 1, **fields}


def of_kind(decisions, kind):
    return [action for action in decisions if action["t"] == kind]


def test_an_empty_batch_gets_an_empty_reply():
    assert SimulatorLink().exchange(b'{"time":5,"happened":[]}') == b'{"decisions":[]}\n'


def test_an_instance_that_exits_and_attaches_in_one_batch_starts_without_state():
    link = SimulatorLink()
    exchange(link, 10, attach())
    first = exchange(link, 20, ingress("a" * 16, kind="pay"))
    assert of_kind(first, "execute") and of_kind(first, "recordKey")[0]["keepFor"] >= 13_000_000_000
    again = exchange(link, 30, {"t": "exit", "i": 0}, attach(), ingress("b" * 16))
    assert [action["call"] for action in of_kind(again, "execute")] == ["b" * 16]
    # The original of this retry may have run before the exit, so the retry is neither run nor rejected.
    retry = exchange(link, 40, ingress("c" * 16, kind="pay", repeats="a" * 16))
    assert of_kind(retry, "fail") and not of_kind(retry, "execute") and not of_kind(retry, "notNow")


def test_zero_and_null_fields_equal_absent_ones():
    link = SimulatorLink()
    exchange(link, 10, attach())
    fields = {"validUntil": 0, "repeats": 0, "predicted": None, "project": 0, "resent": None}
    assert of_kind(exchange(link, 20, ingress("a" * 16, **fields)), "execute")


def test_events_of_released_requests_change_nothing():
    link = SimulatorLink()
    exchange(link, 10, attach())
    assert exchange(link, 20, {"t": "lapsed", "i": 0, "call": "f" * 16}) == []


def test_instances_in_one_process_do_not_affect_each_other():
    events = [ingress(f"{n:016x}", queuedFor=n * 1000) for n in range(9)]
    alone = SimulatorLink()
    exchange(alone, 10, attach(7))
    expected = exchange(alone, 20, *[{**event, "i": 7} for event in events])
    with_other = SimulatorLink()
    exchange(with_other, 10, attach(3), attach(7))
    mixed = [{**event, "i": i} for event in events for i in (3, 7)]
    assert [action for action in exchange(with_other, 20, *mixed) if action["i"] == 7] == expected


@pytest.mark.parametrize(
    ("line", "expected"),
    [
        (b"nonsense", "JSON"),
        (b"[]", "object"),
        (b'{"time":1}', "happened"),
        (b'{"time":"x","happened":[]}', "time"),
        (b'{"time":1,"happened":[{"t":"bell","i":0,"mark":"sweep"}]}', "'i'"),
        (b'{"time":1,"happened":[{"t":"no-such","i":0}]}', "'t'"),
        (json.dumps({"time": 1, "happened": [attach(familyInfo={"cores": 0})]}).encode(), "familyInfo.cores"),
        (json.dumps({"time": 1, "happened": [attach(requestClasses=[])]}).encode(), "requestClasses"),
        (json.dumps({"time": 1, "happened": [attach(), {"t": "ingress", "i": 0}]}).encode(), "'call'"),
    ],
)
def test_malformed_input_raises_an_error_that_names_the_field(line, expected):
    with pytest.raises(MalformedInputError, match=expected):
        SimulatorLink().exchange(line)


def test_an_exception_in_the_controller_is_reported_as_a_crash_with_its_location(monkeypatch):
    link = SimulatorLink()
    exchange(link, 10, attach())
    monkeypatch.setattr(link.servers[0].controller, "request_arrived", lambda *arguments: 1 / 0)
    (crash,) = exchange(link, 20, ingress("a" * 16))
    assert crash["t"] == "crash" and crash["text"].startswith("ZeroDivisionError")
