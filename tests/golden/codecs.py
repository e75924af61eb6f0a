"""The one place where the golden tests know names of the code: fixed messages through its codecs.

Each function takes plain data and gives bytes, or bytes and gives plain data. After a rename only this file
changes; the data in `data/codecs.json` never do.
"""

from typing import Any

from vetchford.protocol import heartbeat, json_rpc, records_lines, worker_pool_lines
from vetchford.protocol.receive_buffer import ReceiveBuffer
from vetchford.transport import framing


def heartbeat_datagram(name: str, ready: bool) -> bytes:
    """The registry's datagram."""
    return heartbeat.encode_report(name, ready)


def rpc_rejected(rpc_id: Any, give_up: bool, retry_after: float) -> bytes:
    """The reply to a request that was turned away."""
    return b"".join(json_rpc.rejected(rpc_id, give_up, retry_after))


def rpc_failed(rpc_id: Any) -> bytes:
    """The reply to a request that failed."""
    return b"".join(json_rpc.failed(rpc_id))


def rpc_finished(rpc_id: Any, content: str) -> bytes:
    """The reply with a result."""
    return b"".join(json_rpc.completed(rpc_id, content))


def rpc_closing() -> bytes:
    """The notification before a connection is closed."""
    return b"".join(json_rpc.closing())


def pool_lines() -> dict[str, bytes]:
    """Each line that is written to a worker pool, with fixed values."""
    return {
        "bind": b"".join(worker_pool_lines.bind(7)),
        "spawn": b"".join(worker_pool_lines.spawn("9b", 'a"\u00e9', "aa==")),
        "supply": b"".join(worker_pool_lines.supply("9b", b"\0yes")),
        "pass": b"".join(worker_pool_lines.skip("9b", 12)),
        "poll": b"".join(worker_pool_lines.poll("1-2")),
    }


def records_call(name: str, wait: int, body: bytes) -> bytes:
    """A call of the records service."""
    return b"".join(records_lines.call(name, wait, body))


def records_cancel(name: str) -> bytes:
    """The line that gives a call up."""
    return b"".join(records_lines.cancel(name))


def records_reply(data: bytes) -> tuple[str, str, str | None] | str | None:
    """What a reply is read as; an error's own words; None while it is not whole."""
    buffer = ReceiveBuffer(100_000)
    buffer.free_space()[: len(data)] = data
    buffer.add_received(len(data))
    try:
        found = records_lines.next_reply(buffer)
    except Exception as problem:
        return f"error: {problem}"
    if found is None:
        return None
    return found[0], found[1], None if found[2] is None else bytes(found[2]).decode("latin-1")


def frame_encoded(fields: list[Any]) -> bytes:
    """A frame of fleet, sender, life, nonce, sequence, kind and body."""
    return framing.encode_frame(framing.Envelope(*fields))


def frame_decoded(data: bytes) -> list[Any] | str:
    """The seven fields of a datagram, or the word for what is wrong with it."""
    try:
        found = framing.decode_datagram(data)
    except framing.FrameError as problem:
        return str(problem)
    return [
        found.fleet,
        found.sender,
        found.incarnation,
        found.nonce,
        found.sequence,
        found.kind,
        found.body,
    ]


def frames_of_stream(pieces: list[bytes]) -> list[list[Any]]:
    """The fields of all frames in a stream that came in pieces."""
    stream = framing.StreamDecoder()
    return [
        [found.fleet, found.sender, found.incarnation, found.nonce, found.sequence, found.kind, found.body]
        for piece in pieces
        for found in stream.feed(piece)
    ]
