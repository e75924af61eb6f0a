"""Codec of frames: a header of 16 bytes and a body in MessagePack (msgspec) with an XXH3 checksum (xxhash).

    "vf" (2 bytes), version (1), reserved (1), length of the body (4), checksum of the body (8); big-endian

Datagrams (one frame each) and streams use the same form. The only state is the undecoded rest of a stream.
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
MAX_DATAGRAM_BYTES = 1400  # fits into an Ethernet frame, so it is not fragmented

# Errors that decoding a malformed body may raise; OverflowError comes from converting an infinity.
MALFORMED_BODY_ERRORS = (KeyError, TypeError, ValueError, IndexError, AttributeError, OverflowError)


class FrameError(VetchfordError):
    """A frame that can't be decoded or encoded; `fault` is the reason."""

    def __init__(self, fault: FrameFault) -> None:
        """Use the value of the fault as the error text."""
        super().__init__(fault.value)
        self.fault = fault


class Envelope(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """The content of a frame: its sender, its sequence number and a message."""

    fleet: str
    sender: str
    incarnation: int  # of the sender; higher at each start
    nonce: int  # random at each start; distinguishes processes with the same incarnation
    sequence: int  # from 1, per connection, or per incarnation for its datagrams
    kind: str
    body: Any


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Envelope)


def encode_frame(envelope: Envelope) -> bytes:
    """Return the frame of an envelope; raise FrameError if its body exceeds `MAX_BODY_BYTES`."""
    body = _encoder.encode(envelope)
    if len(body) > MAX_BODY_BYTES:
        raise FrameError(FrameFault.TOO_LONG)
    return HEADER.pack(MAGIC, VERSION, 0, len(body), xxhash.xxh3_64_intdigest(body)) + body


def decode_datagram(data: bytes) -> Envelope:
    """Return the envelope of a datagram, which must be exactly one frame; raise FrameError otherwise."""
    if len(data) < HEADER.size:
        raise FrameError(FrameFault.NOT_A_FRAME)
    length, checksum = _parse_header(data)
    if len(data) != HEADER.size + length:
        raise FrameError(FrameFault.MALFORMED)
    return _decode_body(data[HEADER.size :], checksum)


class StreamDecoder:
    """Decodes the bytes of one connection into envelopes; buffers at most one incomplete frame."""

    def __init__(self) -> None:
        """Start with an empty buffer."""
        self.unread = bytearray()

    def feed(self, data: bytes) -> list[Envelope]:
        """Return the envelopes that `data` completes; after a FrameError the rest can't be decoded."""
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
    """Return the length and the checksum of the body."""
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
