"""Codec of the failure detector's datagrams: arrays of kind, probe number, target and updates.

The encoding does not change, as agents of two versions exchange datagrams during a rolling upgrade.
"""

from dataclasses import dataclass
from typing import Any

from vetchford.fleet.membership_updates import MembershipUpdate


@dataclass(frozen=True, slots=True)
class DetectorDatagram:
    """One message of the failure detector."""

    kind: str
    probe_number: int
    target: str  # of an indirect probe; otherwise empty
    updates: list[MembershipUpdate]


def encode(datagram: DetectorDatagram) -> list[Any]:
    """Return the encoded form."""
    return [datagram.kind, datagram.probe_number, datagram.target, datagram.updates]


def decode(body: Any) -> DetectorDatagram:
    """Decode a datagram. Raises one of `transport.framing.MALFORMED_BODY_ERRORS` if it is malformed."""
    kind, probe_number, target, encoded_updates = body
    updates = [(str(name), str(state), int(incarnation)) for name, state, incarnation in encoded_updates]
    return DetectorDatagram(str(kind), int(probe_number), str(target), updates)
