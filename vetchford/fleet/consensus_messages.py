"""Messages and stored state of the replicated record (`consensus.py`): types and their encoded form.

A codec without state. Agents of different versions exchange these messages during a rolling upgrade, so the
encoded names and the order of the keys must not change; each name is defined here only. The types are named
after the messages of Raft (Ongaro and Ousterhout, 2014) and of its pre-vote extension (Ongaro's thesis, 9.6).
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, TypeAlias, get_args

import msgspec

from vetchford.errors import MalformedInputError

RecordVersion: TypeAlias = tuple[int, int]
"""Term and revision of a record; the greater pair is newer."""

RecordBody: TypeAlias = dict[str, Any]
"""Content of the record; the consensus modules read only its `members` and `voters`."""

EncodedMessage: TypeAlias = dict[str, Any]

KIND_KEY = "do"
STORE_KEY = "store"


class MalformedMessageError(MalformedInputError, ValueError):
    """A message from the agent `sender` that lacks a field or has a field of the wrong type."""

    def __init__(self, sender: str, problem: str) -> None:
        """Make the error; `problem` says which field is wrong."""
        super().__init__(f"malformed message from {sender}: {problem}")
        self.sender = sender
        self.problem = problem


class UnknownMessageError(MalformedInputError):
    """A message whose encoded kind, `kind`, this version does not know."""

    def __init__(self, kind: str) -> None:
        """Make the error; `kind` is the encoded kind of the message."""
        super().__init__(f"unknown kind of message '{kind}'; its sender may run a later version")
        self.kind = kind


class PreVoteRequest(msgspec.Struct, frozen=True, tag_field=KIND_KEY, tag="would"):
    """A question whether the receiver would vote for the sender; it changes nothing at the receiver."""

    version: RecordVersion = msgspec.field(name="at")


class PreVoteResponse(msgspec.Struct, frozen=True, tag_field=KIND_KEY, tag="answer"):
    """The answer to a `PreVoteRequest`, with the highest term that the voter has voted in."""

    granted: bool = msgspec.field(name="yes")
    promised_term: int = msgspec.field(name="promised")


class VoteRequest(msgspec.Struct, frozen=True, tag_field=KIND_KEY, tag="promise"):
    """A candidate's request for a vote in `term`."""

    term: int


class VoteGranted(msgspec.Struct, frozen=True, tag_field=KIND_KEY, tag="promised"):
    """A vote in `term`, with the voter's copy of the record."""

    term: int
    version: RecordVersion = msgspec.field(name="at")
    body: RecordBody


class Rejected(msgspec.Struct, frozen=True, tag_field=KIND_KEY, tag="passed"):
    """The answer to a message of `term` from an agent that has voted in the higher `promised_term`."""

    term: int
    promised_term: int = msgspec.field(name="promised")


class Heartbeat(msgspec.Struct, frozen=True, tag_field=KIND_KEY, tag="beat"):
    """A periodic message from the leader of `term` to a member that has acknowledged `version`."""

    term: int
    version: RecordVersion = msgspec.field(name="at")
    committed: RecordVersion = msgspec.field(name="force")


class AppendRecord(msgspec.Struct, frozen=True, tag_field=KIND_KEY, tag="hold"):
    """A heartbeat with the record, for a member that has not acknowledged `version`."""

    term: int
    version: RecordVersion = msgspec.field(name="at")
    committed: RecordVersion = msgspec.field(name="force")
    body: RecordBody


class Acknowledge(msgspec.Struct, frozen=True, tag_field=KIND_KEY, tag="held"):
    """The answer to `Heartbeat` and `AppendRecord`: the member has `version` on disk."""

    term: int
    version: RecordVersion = msgspec.field(name="at")


class InstallSnapshot(msgspec.Struct, frozen=True, tag_field=KIND_KEY, tag="teach"):
    """The record, sent to an agent that requested a pre-vote and is not a member in this record."""

    version: RecordVersion = msgspec.field(name="at")
    body: RecordBody


Message: TypeAlias = (
    PreVoteRequest
    | PreVoteResponse
    | VoteRequest
    | VoteGranted
    | Rejected
    | Heartbeat
    | AppendRecord
    | Acknowledge
    | InstallSnapshot
)

MESSAGE_TYPES: dict[str, type[Message]] = {
    str(message_type.__struct_config__.tag): message_type for message_type in get_args(Message)
}


def encode_message(message: Message, store: str) -> EncodedMessage:
    """Return the encoded form of a message; `store` is the identity of the sender's store."""
    encoded: EncodedMessage = msgspec.to_builtins(message)
    encoded[STORE_KEY] = store
    return encoded


def sender_store(encoded: EncodedMessage) -> str:
    """Return the identity of the sender's store, which messages of every kind carry."""
    return str(encoded.get(STORE_KEY, ""))


def decode_message(sender: str, encoded: EncodedMessage) -> Message:
    """Return the typed form of a message; fields that this version does not know are ignored.

    Raise UnknownMessageError for an unknown kind, MalformedMessageError for any other message that cannot be
    decoded.
    """
    kind = encoded.get(KIND_KEY)
    if not isinstance(kind, str):
        raise MalformedMessageError(sender, f"field '{KIND_KEY}', the kind, is missing or not a string")
    message_type = MESSAGE_TYPES.get(kind)
    if message_type is None:
        raise UnknownMessageError(kind)
    try:
        return msgspec.convert(encoded, message_type)
    except msgspec.ValidationError as problem:
        raise MalformedMessageError(sender, f"{kind}: {problem}") from None


@dataclass(frozen=True, slots=True)
class PersistentState:
    """An agent's vote and copy of the record, which are on disk before the agent answers a message."""

    promised_term: int
    version: RecordVersion
    body: RecordBody

    def to_stored(self) -> dict[str, Any]:
        """Return the stored form."""
        return {"promised": self.promised_term, "at": list(self.version), "body": self.body}

    @classmethod
    def from_stored(cls, stored: dict[str, Any]) -> PersistentState:
        """Read the stored form; KeyError if a key is missing."""
        term, revision = stored["at"]
        return cls(stored["promised"], (term, revision), stored["body"])
