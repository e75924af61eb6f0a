"""Messages and stored state of the replicated record (`consensus.py`): typed values, and their encoded form.

A codec without state. The encoded words and the order of the keys are those that agents of every version
exchange during a rolling upgrade, so they stay as they are; each appears here and nowhere else. The message
names are those of Raft (Ongaro and Ousterhout, 2014) and of its pre-vote extension (Ongaro's thesis, 9.6).
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, TypeAlias, get_args

import msgspec

from vetchford.errors import MalformedInputError

RecordVersion: TypeAlias = tuple[int, int]
"""Term and revision of a record; the greater one is the newer one."""

RecordBody: TypeAlias = dict[str, Any]
"""What the record says; consensus reads `members` and `voters` of it alone."""

EncodedMessage: TypeAlias = dict[str, Any]

KIND_KEY = "do"
STORE_KEY = "store"


class MalformedMessageError(MalformedInputError, ValueError):
    """A message that lacks a field or has one of the wrong type; `sender` is the agent that sent it."""

    def __init__(self, sender: str, problem: str) -> None:
        """`problem` says which field is wrong."""
        super().__init__(f"message of {sender}: {problem}")
        self.sender = sender
        self.problem = problem


class UnknownMessageError(MalformedInputError):
    """A message of a kind that this version does not know; `kind` is its encoded word."""

    def __init__(self, kind: str) -> None:
        """`kind` is the word that stands in the message."""
        super().__init__(f"unknown kind of message: {kind}")
        self.kind = kind


class PreVoteRequest(msgspec.Struct, frozen=True, tag_field=KIND_KEY, tag="would"):
    """Asks whether the receiver would vote for the sender; changes nothing at the receiver."""

    version: RecordVersion = msgspec.field(name="at")


class PreVoteResponse(msgspec.Struct, frozen=True, tag_field=KIND_KEY, tag="answer"):
    """The answer to a `PreVoteRequest`, with the highest term that its sender has voted in."""

    granted: bool = msgspec.field(name="yes")
    promised_term: int = msgspec.field(name="promised")


class VoteRequest(msgspec.Struct, frozen=True, tag_field=KIND_KEY, tag="promise"):
    """A candidate asks for a vote in `term`."""

    term: int


class VoteGranted(msgspec.Struct, frozen=True, tag_field=KIND_KEY, tag="promised"):
    """A vote in `term`, with the record that the voter has."""

    term: int
    version: RecordVersion = msgspec.field(name="at")
    body: RecordBody


class Rejected(msgspec.Struct, frozen=True, tag_field=KIND_KEY, tag="passed"):
    """The answer to a message of `term`: its sender has voted in the higher `promised_term`."""

    term: int
    promised_term: int = msgspec.field(name="promised")


class Heartbeat(msgspec.Struct, frozen=True, tag_field=KIND_KEY, tag="beat"):
    """The leader of `term` is there; the receiver has acknowledged `version` already."""

    term: int
    version: RecordVersion = msgspec.field(name="at")
    committed: RecordVersion = msgspec.field(name="force")


class AppendRecord(msgspec.Struct, frozen=True, tag_field=KIND_KEY, tag="hold"):
    """A heartbeat that carries the record, to a member that has not acknowledged `version`."""

    term: int
    version: RecordVersion = msgspec.field(name="at")
    committed: RecordVersion = msgspec.field(name="force")
    body: RecordBody


class Acknowledge(msgspec.Struct, frozen=True, tag_field=KIND_KEY, tag="held"):
    """The answer to `Heartbeat` and `AppendRecord`: the sender has `version` on its disk."""

    term: int
    version: RecordVersion = msgspec.field(name="at")


class InstallSnapshot(msgspec.Struct, frozen=True, tag_field=KIND_KEY, tag="teach"):
    """The record for an agent that asked for a pre-vote and is no member in it."""

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
    """The encoded form of a message; `store` is the identity of the sender's store."""
    encoded: EncodedMessage = msgspec.to_builtins(message)
    encoded[STORE_KEY] = store
    return encoded


def sender_store(encoded: EncodedMessage) -> str:
    """The identity of the sender's store, which every message carries whatever its kind."""
    return str(encoded.get(STORE_KEY, ""))


def decode_message(sender: str, encoded: EncodedMessage) -> Message:
    """The typed form of a message; fields that this version does not know are ignored.

    UnknownMessageError for a kind of another version, MalformedMessageError for anything else that can't be
    read.
    """
    kind = encoded.get(KIND_KEY)
    if not isinstance(kind, str):
        raise MalformedMessageError(sender, f"no kind under '{KIND_KEY}'")
    message_type = MESSAGE_TYPES.get(kind)
    if message_type is None:
        raise UnknownMessageError(kind)
    try:
        return msgspec.convert(encoded, message_type)
    except msgspec.ValidationError as problem:
        raise MalformedMessageError(sender, f"{kind}: {problem}") from None


@dataclass(frozen=True, slots=True)
class PersistentState:
    """What an agent has on its disk before it answers: its vote and its copy of the record."""

    promised_term: int
    version: RecordVersion
    body: RecordBody

    def to_stored(self) -> dict[str, Any]:
        """The stored form."""
        return {"promised": self.promised_term, "at": list(self.version), "body": self.body}

    @classmethod
    def from_stored(cls, stored: dict[str, Any]) -> PersistentState:
        """Reads the stored form; KeyError where it is not one."""
        term, revision = stored["at"]
        return cls(stored["promised"], (term, revision), stored["body"])
