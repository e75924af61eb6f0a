"""Adapter between the golden tests and the codecs, the only golden module that uses names of the code.

Each function encodes plain data, or decodes bytes to plain data. A rename in the code changes this module
only, never the data in `data/codecs.json`.
"""

from typing import Any

from vetchford.protocol import heartbeat, json_rpc, records_lines, worker_pool_lines
from vetchford.protocol.receive_buffer import ReceiveBuffer
from vetchford.transport import framing


def heartbeat_datagram(name: str, ready: bool) -> bytes:
    """Encode the readiness report."""
    return heartbeat.encode_report(name, ready)


def rpc_rejected(rpc_id: Any, give_up: bool, retry_after: float) -> bytes:
    """Encode the reply to a rejected request."""
    return b"".join(json_rpc.rejected(rpc_id, give_up, retry_after))


def rpc_failed(rpc_id: Any) -> bytes:
    """Encode the reply to a failed request."""
    return b"".join(json_rpc.failed(rpc_id))


def rpc_finished(rpc_id: Any, content: str) -> bytes:
    """Encode the reply with a result."""
    return b"".join(json_rpc.completed(rpc_id, content))


def rpc_closing() -> bytes:
    """Encode the notification that the server closes a connection."""
    return b"".join(json_rpc.closing())


def pool_lines() -> dict[str, bytes]:
    """Encode each message to a worker pool, with fixed values."""
    return {
        "bind": b"".join(worker_pool_lines.bind(7)),
        "spawn": b"".join(worker_pool_lines.spawn("9b", 'a"\u00e9', "aa==")),
        "supply": b"".join(worker_pool_lines.supply("9b", b"\0yes")),
        "pass": b"".join(worker_pool_lines.skip("9b", 12)),
        "poll": b"".join(worker_pool_lines.poll("1-2")),
    }


def records_call(name: str, wait: int, body: bytes) -> bytes:
    """Encode a call of the records service."""
    return b"".join(records_lines.call(name, wait, body))


def records_cancel(name: str) -> bytes:
    """Encode the cancellation of a call."""
    return b"".join(records_lines.cancel(name))


def records_reply(data: bytes) -> tuple[str, str, str | None] | str | None:
    """Decode a reply of the records service; return the text of an error, or None if it is incomplete."""
    buffer = ReceiveBuffer(100_000)
    buffer.free_space()[: len(data)] = data
    buffer.add_received(len(data))
    try:
        reply = records_lines.next_reply(buffer)
    except Exception as problem:
        return f"error: {problem}"
    if reply is None:
        return None
    return reply[0], reply[1], None if reply[2] is None else bytes(reply[2]).decode("latin-1")


def frame_encoded(fields: list[Any]) -> bytes:
    """Encode a frame of fleet, sender, incarnation, nonce, sequence, kind and body."""
    return framing.encode_frame(framing.Envelope(*fields))


def frame_decoded(data: bytes) -> list[Any] | str:
    """Decode a datagram to its seven fields, or return the text of the error."""
    try:
        envelope = framing.decode_datagram(data)
    except framing.FrameError as problem:
        return str(problem)
    return [
        envelope.fleet,
        envelope.sender,
        envelope.incarnation,
        envelope.nonce,
        envelope.sequence,
        envelope.kind,
        envelope.body,
    ]


def frames_of_stream(pieces: list[bytes]) -> list[list[Any]]:
    """Decode a stream that is received in pieces to the fields of all frames."""
    stream = framing.StreamDecoder()
    return [
        [
            envelope.fleet,
            envelope.sender,
            envelope.incarnation,
            envelope.nonce,
            envelope.sequence,
            envelope.kind,
            envelope.body,
        ]
        for piece in pieces
        for envelope in stream.feed(piece)
    ]
