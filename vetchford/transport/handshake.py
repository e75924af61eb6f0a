"""Codec of the handshake, the first message of each side of a stream; its encoded form may not change."""

from dataclasses import dataclass
from typing import Any

KIND = "hello"  # of its envelope
KNOWN_PARTS = 2  # incarnation and nonce


@dataclass(frozen=True, slots=True)
class Handshake:
    """Whom its sender addresses, and which incarnation of that peer it knows."""

    recipient: str
    known_incarnation: tuple[int, int] | None  # incarnation and nonce; None where they are unreadable


def encode(recipient: str, incarnation: int, nonce: int) -> dict[str, Any]:
    """The body of a handshake."""
    return {"to": recipient, "knows": [incarnation, nonce]}


def decode(body: Any) -> Handshake | None:
    """The handshake of a body; None where it is none."""
    if not isinstance(body, dict):
        return None
    recipient = body.get("to")
    if not isinstance(recipient, str):
        return None
    return Handshake(recipient, _known_incarnation(body.get("knows")))


def _known_incarnation(value: Any) -> tuple[int, int] | None:
    if not isinstance(value, list) or len(value) != KNOWN_PARTS:
        return None
    if not all(isinstance(part, int) for part in value):
        return None
    return value[0], value[1]
