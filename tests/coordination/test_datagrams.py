"""The encoded form of the datagrams between servers, which two versions share in a rolling upgrade."""

import math

import msgspec
import pytest

from vetchford.coordination import datagrams
from vetchford.coordination.datagrams import LeaseDatagram, LoadReportsDatagram, MembershipDatagram
from vetchford.gossip.messages import LoadReport
from vetchford.leases.messages import LeaderAnnouncement
from vetchford.transport.framing import MALFORMED

VALUES = [100, 0, -1, 1000, 5, 6]


def wire(body):
    return msgspec.msgpack.encode(body)


def test_a_membership_message_has_the_bytes_of_the_first_version():
    news = [("b", "alive", 7)]
    encoded = wire(datagrams.encode_membership("ping", 3, "c", news))
    assert encoded == wire(["view", "ping", 3, "c", [["b", "alive", 7]]])
    decoded = datagrams.decode(msgspec.msgpack.decode(encoded))
    assert decoded == MembershipDatagram("ping", 3, "c", news)


def test_load_reports_have_the_bytes_of_the_first_version():
    report = LoadReport("a", 1, 2, 30, VALUES)
    encoded = wire(datagrams.encode_load_reports([report]))
    assert encoded == wire(["rows", [["a", 1, 2, 30, VALUES]]])
    decoded = datagrams.decode(msgspec.msgpack.decode(encoded))
    assert isinstance(decoded, LoadReportsDatagram) and list(decoded.reports) == [report]


def test_a_lease_message_has_the_bytes_of_the_first_version():
    message = LeaderAnnouncement(term=7)
    encoded = wire(datagrams.encode_lease(message))
    assert encoded == wire(["turn", {"do": "leads", "term": 7}])
    assert datagrams.decode(msgspec.msgpack.decode(encoded)) == LeaseDatagram(message)


def test_load_reports_before_a_malformed_one_count():
    decoded = datagrams.decode(["rows", [["a", 1, 2, 30, VALUES], ["b"]]])
    reports = decoded.reports
    assert next(reports).origin == "a"
    with pytest.raises(MALFORMED):
        next(reports)


@pytest.mark.parametrize("body", [["surprise", 1], ["turn", {"do": "surprise"}], "view", [None]], ids=str)
def test_a_kind_of_another_version_is_ignored(body):
    assert datagrams.decode(body) is None


@pytest.mark.parametrize(
    "body",
    [
        None,
        5,
        [],
        {},
        ["view"],
        ["view", "ping", math.inf, "", []],
        ["view", "ping", 1, "", [["b", "alive"]]],
        ["rows"],
        ["turn"],
        ["turn", None],
        ["turn", {"do": "leads"}],
    ],
    ids=str,
)
def test_a_malformed_datagram_raises_what_the_actor_catches(body):
    with pytest.raises(MALFORMED):
        datagrams.decode(body)
