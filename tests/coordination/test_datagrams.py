"""The encoded form of the datagrams between servers, which two versions exchange in a rolling upgrade."""

import math

import msgspec
import pytest

from vetchford.coordination import datagrams
from vetchford.coordination.datagrams import LeaseDatagram, LoadReportsDatagram, MembershipDatagram
from vetchford.gossip.messages import LoadReport
from vetchford.leases.messages import LeaderAnnouncement
from vetchford.transport.framing import MALFORMED_BODY_ERRORS

REPORT_VALUES = [100, 0, -1, 1000, 5, 6]


def pack(body):
    return msgspec.msgpack.encode(body)


def test_a_membership_message_has_the_bytes_of_the_first_version():
    updates = [("b", "alive", 7)]
    encoded = pack(datagrams.encode_membership("ping", 3, "c", updates))
    assert encoded == pack(["view", "ping", 3, "c", [["b", "alive", 7]]])
    decoded = datagrams.decode(msgspec.msgpack.decode(encoded))
    assert decoded == MembershipDatagram("ping", 3, "c", updates)


def test_load_reports_have_the_bytes_of_the_first_version():
    report = LoadReport("a", 1, 2, 30, REPORT_VALUES)
    encoded = pack(datagrams.encode_load_reports([report]))
    assert encoded == pack(["rows", [["a", 1, 2, 30, REPORT_VALUES]]])
    decoded = datagrams.decode(msgspec.msgpack.decode(encoded))
    assert isinstance(decoded, LoadReportsDatagram) and list(decoded.reports) == [report]


def test_a_lease_message_has_the_bytes_of_the_first_version():
    message = LeaderAnnouncement(term=7)
    encoded = pack(datagrams.encode_lease(message))
    assert encoded == pack(["turn", {"do": "leads", "term": 7}])
    assert datagrams.decode(msgspec.msgpack.decode(encoded)) == LeaseDatagram(message)


def test_load_reports_before_a_malformed_one_are_decoded():
    decoded = datagrams.decode(["rows", [["a", 1, 2, 30, REPORT_VALUES], ["b"]]])
    reports = decoded.reports
    assert next(reports).origin == "a"
    with pytest.raises(MALFORMED_BODY_ERRORS):
        next(reports)


@pytest.mark.parametrize("body", [["surprise", 1], ["turn", {"do": "surprise"}], "view", [None]], ids=str)
def test_a_datagram_of_an_unknown_kind_is_ignored(body):
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
def test_a_malformed_datagram_raises_an_error_that_the_actor_catches(body):
    with pytest.raises(MALFORMED_BODY_ERRORS):
        datagrams.decode(body)
