"""Codec of the datagrams between the servers of a fleet: arrays that begin with their kind.

The form may not change in a rolling upgrade.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, TypeAlias

from vetchford.fleet.membership_updates import MembershipUpdate
from vetchford.gossip import messages as gossip_messages
from vetchford.gossip.messages import LoadReport
from vetchford.gossip.metrics import METRICS
from vetchford.leases import messages as lease_messages
from vetchford.leases.messages import LeaseMessage


class Kind(StrEnum):
    """The first element of each datagram."""

    MEMBERSHIP = "view"
    LOAD_REPORTS = "rows"
    LEASE = "turn"


@dataclass(frozen=True, slots=True)
class MembershipDatagram:
    """A message of the failure detector."""

    kind: str
    number: int
    about: str
    news: list[MembershipUpdate]


@dataclass(frozen=True, slots=True)
class LoadReportsDatagram:
    """Load reports; they are decoded as they are iterated, which raises what `decode` does."""

    reports: Iterator[LoadReport]


@dataclass(frozen=True, slots=True)
class LeaseDatagram:
    """A message of the lease protocol."""

    message: LeaseMessage


Datagram: TypeAlias = MembershipDatagram | LoadReportsDatagram | LeaseDatagram


def encode_membership(kind: str, number: int, about: str, news: list[MembershipUpdate]) -> list[Any]:
    """The body of a message of the failure detector."""
    return [Kind.MEMBERSHIP, kind, number, about, news]


def encode_load_reports(reports: list[LoadReport]) -> list[Any]:
    """The body of load reports."""
    return [Kind.LOAD_REPORTS, reports]


def encode_lease(message: LeaseMessage) -> list[Any]:
    """The body of a message of the lease protocol."""
    return [Kind.LEASE, lease_messages.encode(message)]


def decode(body: Any) -> Datagram | None:
    """The datagram of a body; None for a kind of another version, which is ignored.

    Raises one of `transport.framing.MALFORMED` where the body is malformed.
    """
    kind, *rest = body
    if kind == Kind.MEMBERSHIP:
        return _decode_membership(rest)
    if kind == Kind.LOAD_REPORTS:
        return LoadReportsDatagram(gossip_messages.decode_reports(rest[0], len(METRICS)))
    if kind == Kind.LEASE:
        message = lease_messages.decode(rest[0])
        return None if message is None else LeaseDatagram(message)
    return None


def _decode_membership(fields: list[Any]) -> MembershipDatagram:
    kind, number, about, news = fields
    pieces = [(str(name), str(state), int(incarnation)) for name, state, incarnation in news]
    return MembershipDatagram(str(kind), int(number), str(about), pieces)
