"""Codec of the failure detector's datagrams between agents: arrays of kind, number, subject and updates.

The form stays as it is: agents of two versions exchange it during a rolling upgrade.
"""

from dataclasses import dataclass
from typing import Any

from vetchford.fleet.membership_updates import MembershipUpdate


@dataclass(frozen=True, slots=True)
class DetectorDatagram:
    """One message of the failure detector."""

    kind: str
    number: int
    about: str  # the target of an indirect probe; otherwise empty
    updates: list[MembershipUpdate]


def encode(datagram: DetectorDatagram) -> list[Any]:
    """The encoded form."""
    return [datagram.kind, datagram.number, datagram.about, datagram.updates]


def decode(body: Any) -> DetectorDatagram:
    """Reads the encoded form. Raises one of `transport.framing.MALFORMED` where it is none."""
    kind, number, about, encoded = body
    updates = [(str(name), str(state), int(incarnation)) for name, state, incarnation in encoded]
    return DetectorDatagram(str(kind), int(number), str(about), updates)
