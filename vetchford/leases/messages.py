"""Messages of the lease protocol, and the one place that knows their encoded form.

Each message is a MessagePack map. Its keys are the words of the protocol's first version, in the order of the
fields below; `WIRE_KEYS` gives the word of each field that has another name here. Processes of two versions
talk to each other in a rolling upgrade, so neither words nor order may change.
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
    """Which request of a client a lease belongs to; a later request does not own what an earlier one got."""

    incarnation: int
    request_number: int


class _Message(msgspec.Struct, frozen=True, rename=WIRE_KEYS):
    """Base of all messages. `sequence` is chosen by the sender of a request and echoed in the answer."""


class VoteRequest(_Message, frozen=True, kw_only=True):
    """A server asks to lead under `term`, or to go on leading."""

    kind: Literal["vote"] = "vote"
    term: int
    sequence: int


class VoteDenied(_Message, frozen=True, kw_only=True):
    """Answer to a vote request; `term` is the highest that the voter has seen."""

    kind: Literal["no_vote"] = "no_vote"
    term: int
    requested_term: int


class VoteGranted(_Message, frozen=True, kw_only=True):
    """Answer to a vote request: the voter votes for nobody else until the leader lease has expired."""

    kind: Literal["voted"] = "voted"
    term: int
    sequence: int


class LeaderAnnouncement(_Message, frozen=True, kw_only=True):
    """The sender leads under `term`."""

    kind: Literal["leads"] = "leads"
    term: int


class _LeaseRequest(_Message, frozen=True, kw_only=True):
    """Base of the requests of a client that are answered."""

    lease_name: str
    incarnation: int
    request_number: int
    zone: str
    sequence: int

    @property
    def request_id(self) -> RequestId:
        """Which request of the client it belongs to."""
        return RequestId(self.incarnation, self.request_number)


class AcquireRequest(_LeaseRequest, frozen=True, kw_only=True):
    """A client asks for a lease, or for its place in the queue."""

    kind: Literal["want"] = "want"


class RenewRequest(_LeaseRequest, frozen=True, kw_only=True):
    """A client asks to keep a lease that was granted under `term`."""

    kind: Literal["renew"] = "renew"
    slot: int
    fencing_token: int
    term: int


class ReleaseNotice(_Message, frozen=True, kw_only=True):
    """A client no longer holds or wants a lease; `fencing_token` is 0 where it held none. Not answered."""

    kind: Literal["done"] = "done"
    lease_name: str
    fencing_token: int
    incarnation: int
    request_number: int

    @property
    def request_id(self) -> RequestId:
        """Which request of the client it ends."""
        return RequestId(self.incarnation, self.request_number)


class LeaseGranted(_Message, frozen=True, kw_only=True):
    """Answer to an acquire or renew request."""

    kind: Literal["yours"] = "yours"
    lease_name: str
    slot: int
    fencing_token: int
    term: int
    sequence: int
    request_id: RequestId


class QueuePosition(_Message, frozen=True, kw_only=True):
    """Answer to an acquire request that has to wait; `queue_position` clients are before it."""

    kind: Literal["wait"] = "wait"
    lease_name: str
    term: int
    queue_position: int
    sequence: int


class LeaderReferral(_Message, frozen=True, kw_only=True):
    """Answer of a server that does not grant this lease: who leads, as far as it knows; empty: unknown."""

    kind: Literal["led_by"] = "led_by"
    lease_name: str
    leader: str
    term: int
    sequence: int


class LeaseRevoked(_Message, frozen=True, kw_only=True):
    """Answer to a renewal of a lease that the leader no longer knows."""

    kind: Literal["over"] = "over"
    lease_name: str
    fencing_token: int


ElectionMessage: TypeAlias = VoteRequest | VoteDenied | VoteGranted | LeaderAnnouncement
ClientRequest: TypeAlias = AcquireRequest | RenewRequest | ReleaseNotice
ServerMessage: TypeAlias = ElectionMessage | ClientRequest  # what a lease server receives
ClientMessage: TypeAlias = LeaseGranted | QueuePosition | LeaderReferral | LeaseRevoked
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
    """The map that is sent, its keys in their order."""
    encoded: dict[str, Any] = msgspec.to_builtins(message)
    return encoded


def decode(body: Any) -> LeaseMessage | None:
    """The message of a decoded map; None for a kind of another version, which is ignored.

    Raises KeyError, TypeError or ValueError (msgspec.ValidationError) where the map is malformed.
    """
    message_type = _TYPES.get(str(body["do"]))
    return None if message_type is None else msgspec.convert(body, message_type)
