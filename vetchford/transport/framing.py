"""One frame: a head of 16 bytes and a body in MessagePack (msgspec), checked by XXH3 (xxhash).

    2 bytes "vf", version, reserved, length of the body (4, big-endian), checksum of the body (8)

The same on datagrams (one frame each) and on streams. Nothing is kept here but the unread rest of a stream.
"""

import struct
from typing import Any

import msgspec
import xxhash

MAGIC, VERSION = b"vf", 1
HEAD = struct.Struct(">2sBBIQ")
MOST_BODY = 1 << 20  # bytes: the record of changes of a thousand instances is a sixth of that
MOST_DATAGRAM = 1400  # bytes: under the usual Ethernet frame, so that none is cut into parts


class FrameError(Exception):
    """A frame that can't be followed; the text is one word of `WRONG`."""


# What a body of the wrong form raises in whoever takes it apart; the last for an infinity as a number.
MALFORMED = (KeyError, TypeError, ValueError, IndexError, AttributeError, OverflowError)
WRONG = ("no_frame", "other_version", "too_long", "spoilt", "malformed")


class Envelope(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """What every frame tells of its sender."""

    fleet: str
    sender: str
    life: int  # one higher at each start of the sender
    nonce: int  # drawn at each start: two that claim one life are told apart
    sequence: int  # from 1 on, by connection; by life for datagrams
    kind: str
    body: Any


encoder = msgspec.msgpack.Encoder()
decoder = msgspec.msgpack.Decoder(Envelope)


def packed(envelope: Envelope) -> bytes:
    """FrameError where it is longer than any reader takes."""
    body = encoder.encode(envelope)
    if len(body) > MOST_BODY:
        raise FrameError("too_long")
    return HEAD.pack(MAGIC, VERSION, 0, len(body), xxhash.xxh3_64_intdigest(body)) + body


def head(data: bytes | bytearray) -> tuple[int, int]:
    """Length and checksum of the body."""
    magic, version, _, length, total = HEAD.unpack_from(data)
    if magic != MAGIC:
        raise FrameError("no_frame")
    if version != VERSION:
        raise FrameError("other_version")
    if length > MOST_BODY:
        raise FrameError("too_long")
    return length, total


def opened(body: bytes, total: int) -> Envelope:
    if xxhash.xxh3_64_intdigest(body) != total:
        raise FrameError("spoilt")
    try:
        return decoder.decode(body)
    except (msgspec.DecodeError, RecursionError):
        raise FrameError("malformed") from None


def datagram(data: bytes) -> Envelope:
    if len(data) < HEAD.size:
        raise FrameError("no_frame")
    length, total = head(data)
    if len(data) != HEAD.size + length:
        raise FrameError("malformed")
    return opened(data[HEAD.size :], total)


class Stream:
    """Bytes of one connection to envelopes; holds one frame at most beside what was just read."""

    def __init__(self) -> None:
        self.data = bytearray()

    def feed(self, more: bytes) -> list[Envelope]:
        """FrameError: the connection can't be followed any further."""
        self.data += more
        out = []
        while len(self.data) >= HEAD.size:
            length, total = head(self.data)
            if len(self.data) < HEAD.size + length:
                break
            out.append(opened(bytes(self.data[HEAD.size : HEAD.size + length]), total))
            del self.data[: HEAD.size + length]
        return out
