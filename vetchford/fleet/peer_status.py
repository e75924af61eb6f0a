"""The reply of an agent to `vetchford fleet peers`: typed values and their encoded form. No state.

The encoded names and values are part of the tools' protocol, which scripts read, and do not change.
"""

from typing import Any

import msgspec

from vetchford.fleet.membership import MemberState

ENCODED_MEMBER_STATES = {
    MemberState.ALIVE: "there",
    MemberState.SUSPECT: "may be there",
    MemberState.UNREACHABLE: "not seen",
}


class FullPeerStatus(msgspec.Struct, frozen=True):
    """Another agent as seen by this one; tools decode a part of it as `fleet_messages.PeerStatus`."""

    name: str
    link_state: str = msgspec.field(name="link")
    incarnation: int = msgspec.field(name="life")
    last_failure: str = msgspec.field(name="why")  # of the link; empty while the link is up
    member_state: str = msgspec.field(name="view")  # a value of ENCODED_MEMBER_STATES
    is_member: bool = msgspec.field(name="member")
    is_voter: bool = msgspec.field(name="voter")


class FullPeersReply(msgspec.Struct, frozen=True):
    """The reply to a `PeersRequest`; tools decode a part of it as `fleet_messages.PeersReply`."""

    name: str
    fleet: str
    incarnation: int = msgspec.field(name="life")
    peers: list[FullPeerStatus]
    record: dict[str, Any] = msgspec.field(name="book")  # `ReplicatedRecord.status`
    log: list[Any]  # changes of members and voters
    bytes_sent: int
    datagrams_sent: int


def encode_status(status: FullPeersReply) -> dict[str, Any]:
    """Return the encoded form."""
    encoded: dict[str, Any] = msgspec.to_builtins(status)
    return encoded
