"""What `vetchford fleet peers` shows of one agent: typed values, and their encoded form for tools.

A codec without state. The words are those of the tools' protocol, which scripts read, and stay as they are.
"""

from typing import Any

import msgspec

from vetchford.fleet.membership import MemberState

SHOWN_MEMBER_STATES = {
    MemberState.ALIVE: "there",
    MemberState.SUSPECT: "may be there",
    MemberState.UNREACHABLE: "not seen",
}


class FullPeerStatus(msgspec.Struct, frozen=True):
    """Another agent, as this one sees it; the tool reads a part of it, `fleet_messages.PeerStatus`."""

    name: str
    link_state: str = msgspec.field(name="link")
    incarnation: int = msgspec.field(name="life")
    last_failure: str = msgspec.field(name="why")  # of the stream; empty while it is up
    member_state: str = msgspec.field(name="view")  # one of SHOWN_MEMBER_STATES
    is_member: bool = msgspec.field(name="member")
    is_voter: bool = msgspec.field(name="voter")


class FullPeersReply(msgspec.Struct, frozen=True):
    """The reply to a `PeersRequest`; the tool reads a part of it, `fleet_messages.PeersReply`."""

    name: str
    fleet: str
    incarnation: int = msgspec.field(name="life")
    peers: list[FullPeerStatus]
    record: dict[str, Any] = msgspec.field(name="book")  # `ReplicatedRecord.status`
    log: list[Any]  # changes of members and voters
    bytes_sent: int
    datagrams_sent: int


def encode_status(status: FullPeersReply) -> dict[str, Any]:
    """The form that tools read."""
    encoded: dict[str, Any] = msgspec.to_builtins(status)
    return encoded
