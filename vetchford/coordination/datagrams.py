"""Codec of the datagrams between the servers of a fleet: arrays whose first element is their kind.

During a rolling upgrade servers of two versions exchange them, so the form may not change.
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
    """The kind of a datagram, its first element."""

    MEMBERSHIP = "view"
    LOAD_REPORTS = "rows"
    LEASE = "turn"


@dataclass(frozen=True, slots=True)
class MembershipDatagram:
    """A message of the failure detector; `target`: the agent that a ping request asks to probe."""

    kind: str
    number: int
    target: str
    updates: list[MembershipUpdate]


@dataclass(frozen=True, slots=True)
class LoadReportsDatagram:
    """Load reports; they are decoded during iteration, which raises the same errors as `decode`."""

    reports: Iterator[LoadReport]


@dataclass(frozen=True, slots=True)
class LeaseDatagram:
    """A message of the lease protocol."""

    message: LeaseMessage


Datagram: TypeAlias = MembershipDatagram | LoadReportsDatagram | LeaseDatagram


def encode_membership(kind: str, number: int, target: str, updates: list[MembershipUpdate]) -> list[Any]:
    """Return the body of a message of the failure detector."""
    return [Kind.MEMBERSHIP, kind, number, target, updates]


def encode_load_reports(reports: list[LoadReport]) -> list[Any]:
    """Return the body of a datagram with load reports."""
    return [Kind.LOAD_REPORTS, reports]


def encode_lease(message: LeaseMessage) -> list[Any]:
    """Return the body of a message of the lease protocol."""
    return [Kind.LEASE, lease_messages.encode(message)]


def decode(body: Any) -> Datagram | None:
    """Return the datagram in a body; None for an unknown kind, which a newer version may send.

    Raises one of `transport.framing.MALFORMED_BODY_ERRORS` if the body is malformed.
    """
    kind, *fields = body
    if kind == Kind.MEMBERSHIP:
        return _decode_membership(fields)
    if kind == Kind.LOAD_REPORTS:
        return LoadReportsDatagram(gossip_messages.decode_reports(fields[0], len(METRICS)))
    if kind == Kind.LEASE:
        message = lease_messages.decode(fields[0])
        return None if message is None else LeaseDatagram(message)
    return None


def _decode_membership(fields: list[Any]) -> MembershipDatagram:
    kind, number, target, updates = fields
    decoded_updates = [(str(name), str(state), int(incarnation)) for name, state, incarnation in updates]
    return MembershipDatagram(str(kind), int(number), str(target), decoded_updates)
