"""Encoded form of consensus messages, which agents of every version must read, and decoding errors."""

import msgspec
import pytest

from vetchford.errors import VetchfordError
from vetchford.fleet import consensus_messages as messages
from vetchford.transport.framing import MALFORMED_BODY_ERRORS

BODY = {"members": {"b": 0, "a": 0}, "voters": {"b": "", "a": "1"}, "log": [], "spans": {}}

# Each message with its encoded form in the version before the typed messages; the order of keys matters too.
ENCODED = [
    (messages.PreVoteRequest((64, 2)), {"do": "would", "at": [64, 2]}),
    (messages.PreVoteResponse(True, 65), {"do": "answer", "yes": True, "promised": 65}),
    (messages.VoteRequest(66), {"do": "promise", "term": 66}),
    (
        messages.VoteGranted(66, (64, 2), BODY),
        {"do": "promised", "term": 66, "at": [64, 2], "body": BODY},
    ),
    (messages.Rejected(66, 70), {"do": "passed", "term": 66, "promised": 70}),
    (
        messages.Heartbeat(66, (66, 3), (66, 2)),
        {"do": "beat", "term": 66, "at": [66, 3], "force": [66, 2]},
    ),
    (
        messages.AppendRecord(66, (66, 3), (66, 2), BODY),
        {"do": "hold", "term": 66, "at": [66, 3], "force": [66, 2], "body": BODY},
    ),
    (messages.Acknowledge(66, (66, 3)), {"do": "held", "term": 66, "at": [66, 3]}),
    (messages.InstallSnapshot((66, 3), BODY), {"do": "teach", "at": [66, 3], "body": BODY}),
]


@pytest.mark.parametrize(("message", "encoded"), ENCODED)
def test_messages_encode_as_before_and_round_trip(message, encoded):
    data = msgspec.msgpack.encode(messages.encode_message(message, "store-1"))
    assert data == msgspec.msgpack.encode({**encoded, "store": "store-1"})
    received = msgspec.msgpack.decode(data)
    assert messages.decode_message("a", received) == message
    assert messages.sender_store(received) == "store-1"


def test_encoding_table_covers_every_message_type():
    assert {encoded["do"] for _, encoded in ENCODED} == set(messages.MESSAGE_TYPES)


@pytest.mark.parametrize(("message", "encoded"), ENCODED)
def test_unknown_fields_are_ignored_and_missing_fields_are_malformed(message, encoded):
    assert messages.decode_message("a", {**encoded, "later": 1}) == message
    for key in encoded:
        with pytest.raises(messages.MalformedMessageError) as malformed:
            messages.decode_message("a", {other: value for other, value in encoded.items() if other != key})
        assert malformed.value.sender == "a"


def test_wrong_types_and_unknown_kinds_raise_distinct_errors():
    assert issubclass(messages.MalformedMessageError, MALFORMED_BODY_ERRORS)
    assert issubclass(messages.MalformedMessageError, VetchfordError)
    for encoded in (
        {"do": 7},
        {"do": ["held"]},
        {"do": "held", "term": "66", "at": [1, 2]},
        {"do": "held", "term": 66, "at": [1]},
        {"do": "held", "term": 66, "at": [1, 2, 3]},
        {"do": "promised", "term": 66, "at": [1, 2], "body": []},
    ):
        with pytest.raises(messages.MalformedMessageError):
            messages.decode_message("a", encoded)
    with pytest.raises(messages.UnknownMessageError) as unknown:
        messages.decode_message("a", {"do": "of a later version"})
    assert unknown.value.kind == "of a later version"


def test_persistent_state_round_trips_with_stored_keys():
    state = messages.PersistentState(66, (64, 2), BODY)
    assert state.to_stored() == {"promised": 66, "at": [64, 2], "body": BODY}
    assert messages.PersistentState.from_stored(state.to_stored()) == state
