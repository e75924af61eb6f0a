"""Codec of frames: a header of 16 bytes and a body in MessagePack (msgspec), checked by XXH3 (xxhash).

    2 bytes "vf", version, reserved, length of the body (4, big-endian), checksum of the body (8)

The form is the same for datagrams (one frame each) and for streams. No state but the unread rest of a stream.
"""

import struct
from typing import Any

import msgspec
import xxhash

from vetchford.errors import VetchfordError
from vetchford.transport.faults import FrameFault

MAGIC = b"vf"
VERSION = 1
HEADER = struct.Struct(">2sBBIQ")
MAX_BODY_BYTES = 1 << 20
MAX_DATAGRAM_BYTES = 1400  # fits into an Ethernet frame, so that none is fragmented

# What taking a body of the wrong form apart raises; OverflowError comes from an infinity as a number.
MALFORMED = (KeyError, TypeError, ValueError, IndexError, AttributeError, OverflowError)


class FrameError(VetchfordError):
    """A frame that can't be read or written; `fault` says why."""

    def __init__(self, fault: FrameFault) -> None:
        """Makes the message of the fault."""
        super().__init__(fault.value)
        self.fault = fault


class Envelope(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """The content of a frame: its sender, its place in the sequence, and a message."""

    fleet: str
    sender: str
    incarnation: int  # of the sender; higher at each of its starts
    nonce: int  # drawn at each start: tells apart two processes that claim one incarnation
    sequence: int  # from 1 on; for each connection, and for all datagrams of an incarnation
    kind: str
    body: Any


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Envelope)


def encode_frame(envelope: Envelope) -> bytes:
    """The frame of an envelope. Raises FrameError where it is longer than any reader takes."""
    body = _encoder.encode(envelope)
    if len(body) > MAX_BODY_BYTES:
        raise FrameError(FrameFault.TOO_LONG)
    return HEADER.pack(MAGIC, VERSION, 0, len(body), xxhash.xxh3_64_intdigest(body)) + body


def decode_datagram(data: bytes) -> Envelope:
    """The envelope of a datagram, which is one whole frame. Raises FrameError."""
    if len(data) < HEADER.size:
        raise FrameError(FrameFault.NOT_A_FRAME)
    length, checksum = _parse_header(data)
    if len(data) != HEADER.size + length:
        raise FrameError(FrameFault.MALFORMED)
    return _decode_body(data[HEADER.size :], checksum)


class StreamDecoder:
    """Turns the bytes of one connection into envelopes; keeps at most one frame beside what was just read."""

    def __init__(self) -> None:
        """Begins with nothing read."""
        self.unread = bytearray()

    def feed(self, data: bytes) -> list[Envelope]:
        """The envelopes that `data` completes. Raises FrameError: the rest of the stream is unreadable."""
        self.unread += data
        envelopes = []
        while len(self.unread) >= HEADER.size:
            length, checksum = _parse_header(self.unread)
            end = HEADER.size + length
            if len(self.unread) < end:
                break
            envelopes.append(_decode_body(bytes(self.unread[HEADER.size : end]), checksum))
            del self.unread[:end]
        return envelopes


def _parse_header(data: bytes | bytearray) -> tuple[int, int]:
    """Length and checksum of the body."""
    magic, version, _, length, checksum = HEADER.unpack_from(data)
    if magic != MAGIC:
        raise FrameError(FrameFault.NOT_A_FRAME)
    if version != VERSION:
        raise FrameError(FrameFault.OTHER_VERSION)
    if length > MAX_BODY_BYTES:
        raise FrameError(FrameFault.TOO_LONG)
    return length, checksum


def _decode_body(body: bytes, checksum: int) -> Envelope:
    if xxhash.xxh3_64_intdigest(body) != checksum:
        raise FrameError(FrameFault.WRONG_CHECKSUM)
    try:
        return _decoder.decode(body)
    except (msgspec.DecodeError, RecursionError):
        raise FrameError(FrameFault.MALFORMED) from None
