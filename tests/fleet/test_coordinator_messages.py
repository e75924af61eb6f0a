"""Encoded form of coordinator messages and of the record, which agents of every version must read."""

import json

import msgspec
import pytest

from vetchford.fleet import coordinator_messages as messages
from vetchford.fleet.consensus_messages import MalformedMessageError, UnknownMessageError
from vetchford.fleet.fleet_record import FleetRecord, FleetRollout, RolloutState, StepState, founding_record

CONTROLS = {"r1": {"halts": {"a.1.1": ["pause", "asked to"]}, "lifted": []}}
STEP = {"id": "r1/n1/1", "span": "r1", "kind": "roll", "name": "n1", "soak": 200.0, "version": "v2"}
REPORT = {"instances": {"n1": {"state": "serving"}}, "locals": {}, "versions": ["v2"]}

# Each message with its encoded form in the version before the typed messages; the order of keys matters too.
ENCODED = [
    (
        messages.ReportRequest(7, 66, CONTROLS, {"r1": "not seen: b"}),
        {"number": 7, "term": 66, "orders": CONTROLS, "said": {"r1": "not seen: b"}},
    ),
    (
        messages.ReportResponse(7, 66, REPORT, CONTROLS),
        {"number": 7, "term": 66, "report": REPORT, "orders": CONTROLS},
    ),
    (
        messages.StepOrder(7, 66, 3, messages.Step("r1/n1/1", "r1", "roll", "n1", 200.0, "v2")),
        {"number": 7, "term": 66, "revision": 3, "act": STEP},
    ),
    (messages.ControlsUpdate(CONTROLS), {"orders": CONTROLS}),
    (
        messages.ForwardedRequest(4, {"ask": "all"}, 12.5),
        {"ref": 4, "request": {"ask": "all"}, "waited": 12.5},
    ),
    (messages.ForwardedAnswer(4, {"refused": "no"}), {"ref": 4, "answer": {"refused": "no"}}),
]
KINDS = ["look", "seen", "order", "orders", "ask", "told"]

# A rollout as encoded by the version before the typed record.
ROLLOUT = {
    "id": "r1",
    "kind": "roll",
    "version": "v2",
    "batch": 2,
    "floor": 3,
    "spacing": 0,
    "soak": 200.0,
    "on_failure": "pause",
    "state": "running",
    "why": "",
    "back": False,
    "killed": [],
    "turned": [],
    "halts": {},
    "groups": ["pay"],
    "steps": {"n1@b": "out", "n0@a": "pending"},
    "tries": {"n1@b": 1, "n0@a": 0},
    "before": {"n1@b": ["v1", True], "n0@a": ["v1", True]},
}
RECORD = {
    "members": {"b": 0, "a": 0},
    "voters": {"b": "", "a": "1"},
    "log": [["admit", "b", "ops"]],
    "spans": {"r1": ROLLOUT},
}


@pytest.mark.parametrize(("message", "encoded"), ENCODED)
def test_messages_encode_as_before_and_round_trip(message, encoded):
    data = msgspec.msgpack.encode(messages.encode_message(message))
    assert data == msgspec.msgpack.encode(encoded)
    assert messages.decode_message("a", message.KIND, msgspec.msgpack.decode(data)) == message


@pytest.mark.parametrize(("message", "encoded"), ENCODED)
def test_unknown_fields_are_ignored_and_missing_fields_are_malformed(message, encoded):
    assert messages.decode_message("a", message.KIND, {**encoded, "later": 1}) == message
    for key in encoded:
        incomplete = {other: value for other, value in encoded.items() if other != key}
        with pytest.raises(MalformedMessageError):
            messages.decode_message("a", message.KIND, incomplete)
    for body in (None, 7, [], "text"):
        with pytest.raises(MalformedMessageError):
            messages.decode_message("a", message.KIND, body)


def test_message_kinds_are_unchanged_and_unknown_kind_raises():
    assert [message.KIND for message, _ in ENCODED] == KINDS == list(messages.MESSAGE_TYPES)
    with pytest.raises(UnknownMessageError):
        messages.decode_message("a", "of a later version", {})


@pytest.mark.parametrize("sort_keys", [False, True])  # the store writes sorted keys
def test_fleet_record_round_trips_byte_for_byte(sort_keys):
    text = json.dumps(RECORD, sort_keys=sort_keys)
    record = FleetRecord.decode(json.loads(text))
    assert json.dumps(record.encode()) == text
    rollout = record.rollouts["r1"]
    assert rollout.minimum_available == 3 and rollout.steps["n1@b"] == StepState.IN_PROGRESS
    rollout.state, rollout.steps["n1@b"] = RolloutState.SUCCEEDED, StepState.DONE
    expected = json.loads(text)
    expected["spans"]["r1"] |= {"state": "finished", "steps": {**ROLLOUT["steps"], "n1@b": "done"}}
    assert json.loads(json.dumps(record.encode())) == expected
    assert msgspec.msgpack.decode(msgspec.msgpack.encode(record.encode())) == expected


def test_fleet_record_keeps_unknown_keys_and_copies_are_independent():
    later_version = {**RECORD, "later": 1, "spans": {"r1": {**ROLLOUT, "later": 2}}}
    record = FleetRecord.decode(later_version)
    record.rollouts["r1"].steps["n0@a"] = StepState.DONE
    record.rollouts["r1"].attempts["n0@a"] += 1
    encoded = record.encode()
    assert encoded["later"] == 1 and encoded["spans"]["r1"]["later"] == 2
    assert later_version["spans"]["r1"]["steps"] == {"n1@b": "out", "n0@a": "pending"}
    assert later_version["spans"]["r1"]["tries"]["n0@a"] == 0


def test_new_rollout_and_founding_record_encode_as_before():
    arguments = {name: ROLLOUT[key] for key, name in FleetRollout.ENCODED_KEYS.items()}
    assert json.dumps(FleetRollout(**arguments).encode()) == json.dumps(ROLLOUT)
    names = [f"a{n}" for n in range(9)]
    assert json.dumps(founding_record(names[::-1])) == json.dumps(
        {
            "members": dict.fromkeys(names, 0),
            "voters": dict.fromkeys(names[:7], ""),
            "log": [],
            "spans": {},
        }
    )
