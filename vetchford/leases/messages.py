"""Messages of the lease protocol and their encoded form.

Each message is encoded as a MessagePack map with the keys of the protocol's first version, in the order of
the fields below; `WIRE_KEYS` has the key of each field whose name differs from it. During a rolling upgrade
processes of two versions exchange messages, so neither keys nor their order may change.
"""

from typing import Any, Literal, NamedTuple, TypeAlias

import msgspec

WIRE_KEYS = {
    "kind": "do",
    "lease_name": "turn",
    "incarnation": "life",
    "request_number": "wish",
    "request_id": "mark",
    "sequence": "number",
    "fencing_token": "fence",
    "requested_term": "asked",
    "queue_position": "ahead",
}


class RequestId(NamedTuple):
    """The request of a client that a lease was granted for; a later request does not own this lease."""

    incarnation: int
    request_number: int


class _Message(msgspec.Struct, frozen=True, rename=WIRE_KEYS):
    """Base of all messages; `sequence` is set by the sender of a request and echoed in the answer."""


class VoteRequest(_Message, frozen=True, kw_only=True):
    """Request of a server to become or remain the leader under `term`."""

    kind: Literal["vote"] = "vote"
    term: int
    sequence: int


class VoteDenied(_Message, frozen=True, kw_only=True):
    """Answer to a vote request: no vote; `term` is the highest term that the voter has seen."""

    kind: Literal["no_vote"] = "no_vote"
    term: int
    requested_term: int


class VoteGranted(_Message, frozen=True, kw_only=True):
    """Answer to a vote request: the voter votes for no other server until the leader lease has expired."""

    kind: Literal["voted"] = "voted"
    term: int
    sequence: int


class LeaderAnnouncement(_Message, frozen=True, kw_only=True):
    """Notice that the sender is the leader under `term`."""

    kind: Literal["leads"] = "leads"
    term: int


class _LeaseRequest(_Message, frozen=True, kw_only=True):
    """Base of the client requests that a server answers."""

    lease_name: str
    incarnation: int
    request_number: int
    zone: str
    sequence: int

    @property
    def request_id(self) -> RequestId:
        """The identifier of the client's request for the lease."""
        return RequestId(self.incarnation, self.request_number)


class AcquireRequest(_LeaseRequest, frozen=True, kw_only=True):
    """Request of a client for a lease; repeated while the client waits in the queue."""

    kind: Literal["want"] = "want"


class RenewRequest(_LeaseRequest, frozen=True, kw_only=True):
    """Request of a client to extend its lease; `term` is that of the leader it is sent to."""

    kind: Literal["renew"] = "renew"
    slot: int
    fencing_token: int
    term: int


class ReleaseNotice(_Message, frozen=True, kw_only=True):
    """Unanswered notice that a client gives up its lease or queue position; `fencing_token` 0: no lease."""

    kind: Literal["done"] = "done"
    lease_name: str
    fencing_token: int
    incarnation: int
    request_number: int

    @property
    def request_id(self) -> RequestId:
        """The identifier of the client's request that ends."""
        return RequestId(self.incarnation, self.request_number)


class LeaseGranted(_Message, frozen=True, kw_only=True):
    """Answer to an acquire or renew request: the lease is granted or extended."""

    kind: Literal["yours"] = "yours"
    lease_name: str
    slot: int
    fencing_token: int
    term: int
    sequence: int
    request_id: RequestId


class QueuePosition(_Message, frozen=True, kw_only=True):
    """Answer to an acquire request that has to wait; `queue_position` is the number of clients before it."""

    kind: Literal["wait"] = "wait"
    lease_name: str
    term: int
    queue_position: int
    sequence: int


class LeaderReferral(_Message, frozen=True, kw_only=True):
    """Answer of a server that does not grant the lease: the leader it knows; empty if unknown."""

    kind: Literal["led_by"] = "led_by"
    lease_name: str
    leader: str
    term: int
    sequence: int


class LeaseRevoked(_Message, frozen=True, kw_only=True):
    """Answer to a renewal: the leader has no such lease."""

    kind: Literal["over"] = "over"
    lease_name: str
    fencing_token: int


ElectionMessage: TypeAlias = VoteRequest | VoteDenied | VoteGranted | LeaderAnnouncement
ClientRequest: TypeAlias = AcquireRequest | RenewRequest | ReleaseNotice
ServerMessage: TypeAlias = ElectionMessage | ClientRequest  # received by a lease server
ClientMessage: TypeAlias = LeaseGranted | QueuePosition | LeaderReferral | LeaseRevoked  # by a client
LeaseMessage: TypeAlias = ServerMessage | ClientMessage

_TYPES: dict[str, type[LeaseMessage]] = {
    "vote": VoteRequest,
    "no_vote": VoteDenied,
    "voted": VoteGranted,
    "leads": LeaderAnnouncement,
    "want": AcquireRequest,
    "renew": RenewRequest,
    "done": ReleaseNotice,
    "yours": LeaseGranted,
    "wait": QueuePosition,
    "led_by": LeaderReferral,
    "over": LeaseRevoked,
}


def encode(message: LeaseMessage) -> dict[str, Any]:
    """Return the map to send, with its keys in wire order."""
    encoded: dict[str, Any] = msgspec.to_builtins(message)
    return encoded


def decode(body: Any) -> LeaseMessage | None:
    """Return the message in a decoded map; None for an unknown kind, which a newer version may send.

    Raises KeyError, TypeError or ValueError (msgspec.ValidationError) if the map is malformed.
    """
    message_type = _TYPES.get(str(body["do"]))
    return None if message_type is None else msgspec.convert(body, message_type)
