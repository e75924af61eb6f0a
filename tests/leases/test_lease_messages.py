"""The encoded form of lease messages: keys and their order are those of the protocol's first version."""

import msgspec
import pytest

from vetchford.leases import messages
from vetchford.leases.messages import (
    AcquireRequest,
    LeaderAnnouncement,
    LeaderReferral,
    LeaseGranted,
    LeaseRevoked,
    QueuePosition,
    ReleaseNotice,
    RenewRequest,
    RequestId,
    VoteDenied,
    VoteGranted,
    VoteRequest,
)
from vetchford.transport.framing import MALFORMED_BODY_ERRORS

ENCODED_MESSAGES = [
    (VoteRequest(term=7, sequence=3), {"do": "vote", "term": 7, "number": 3}),
    (VoteDenied(term=9, requested_term=7), {"do": "no_vote", "term": 9, "asked": 7}),
    (VoteGranted(term=7, sequence=3), {"do": "voted", "term": 7, "number": 3}),
    (LeaderAnnouncement(term=7), {"do": "leads", "term": 7}),
    (
        AcquireRequest(lease_name="deep", incarnation=1, request_number=2, zone="z", sequence=3),
        {"turn": "deep", "life": 1, "wish": 2, "zone": "z", "number": 3, "do": "want"},
    ),
    (
        RenewRequest(
            lease_name="deep",
            incarnation=1,
            request_number=2,
            zone="z",
            sequence=3,
            slot=0,
            fencing_token=7_000_001,
            term=7,
        ),
        {
            "turn": "deep",
            "life": 1,
            "wish": 2,
            "zone": "z",
            "number": 3,
            "do": "renew",
            "slot": 0,
            "fence": 7_000_001,
            "term": 7,
        },
    ),
    (
        ReleaseNotice(lease_name="deep", fencing_token=7_000_001, incarnation=1, request_number=2),
        {"do": "done", "turn": "deep", "fence": 7_000_001, "life": 1, "wish": 2},
    ),
    (
        LeaseGranted(
            lease_name="deep",
            slot=0,
            fencing_token=7_000_001,
            term=7,
            sequence=3,
            request_id=RequestId(1, 2),
        ),
        {
            "do": "yours",
            "turn": "deep",
            "slot": 0,
            "fence": 7_000_001,
            "term": 7,
            "number": 3,
            "mark": [1, 2],
        },
    ),
    (
        QueuePosition(lease_name="deep", term=7, queue_position=4, sequence=3),
        {"do": "wait", "turn": "deep", "term": 7, "ahead": 4, "number": 3},
    ),
    (
        LeaderReferral(lease_name="deep", leader="s1", term=7, sequence=3),
        {"do": "led_by", "turn": "deep", "leader": "s1", "term": 7, "number": 3},
    ),
    (
        LeaseRevoked(lease_name="deep", fencing_token=7_000_001),
        {"do": "over", "turn": "deep", "fence": 7_000_001},
    ),
]


@pytest.mark.parametrize(
    ("message", "wire_map"), ENCODED_MESSAGES, ids=[wire_map["do"] for _, wire_map in ENCODED_MESSAGES]
)
def test_each_message_is_encoded_as_in_the_first_version_and_decodes_to_itself(message, wire_map):
    encoded = msgspec.msgpack.encode(messages.encode(message))
    assert encoded == msgspec.msgpack.encode(wire_map)
    assert messages.decode(msgspec.msgpack.decode(encoded)) == message


def test_unknown_keys_and_unknown_kinds_of_a_later_version_are_ignored():
    assert messages.decode({"do": "leads", "term": 7, "surprise": 1}) == LeaderAnnouncement(term=7)
    assert messages.decode({"do": "surprise", "turn": "deep"}) is None


@pytest.mark.parametrize(
    "body",
    [None, 5, [], {}, {"do": "leads"}, {"do": "leads", "term": "7"}, "leads"],
    ids=str,
)
def test_a_malformed_message_raises_an_error_that_the_actor_catches(body):
    with pytest.raises(MALFORMED_BODY_ERRORS):
        messages.decode(body)
