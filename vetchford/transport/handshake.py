"""Codec of the handshake, the first message from each end of a stream; the encoded form may not change."""

from dataclasses import dataclass
from typing import Any

KIND = "hello"  # kind of its envelope
KNOWN_INCARNATION_LENGTH = 2  # incarnation and nonce


@dataclass(frozen=True, slots=True)
class Handshake:
    """The recipient of a handshake, and the incarnation of the recipient that the sender knows."""

    recipient: str
    known_incarnation: tuple[int, int] | None  # incarnation and nonce; None if malformed


def encode(recipient: str, incarnation: int, nonce: int) -> dict[str, Any]:
    """Return the body of a handshake."""
    return {"to": recipient, "knows": [incarnation, nonce]}


def decode(body: Any) -> Handshake | None:
    """Return the handshake in a body; None if the body is not a handshake."""
    if not isinstance(body, dict):
        return None
    recipient = body.get("to")
    if not isinstance(recipient, str):
        return None
    return Handshake(recipient, _known_incarnation(body.get("knows")))


def _known_incarnation(value: Any) -> tuple[int, int] | None:
    if not isinstance(value, list) or len(value) != KNOWN_INCARNATION_LENGTH:
        return None
    if not all(isinstance(part, int) for part in value):
        return None
    return value[0], value[1]
