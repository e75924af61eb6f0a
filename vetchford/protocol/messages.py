"""Typed values that the codecs make of messages, free of state and of sockets."""

from dataclasses import dataclass


@dataclass(slots=True)
class IncomingRequest:
    """One request as a client sent it, with the names of its class and tenant resolved to indices."""

    rpc_id: int  # JSON-RPC id, to be repeated in the answer
    request_id: str  # unique among the requests that are known
    request_class: int
    method: str  # name of the request class on the wire
    tenant: int  # -1: none is named
    client_number: int  # that the client gives itself
    arrived_at_unix_ms: float  # when the request reached this machine
    client_timeout_ms: float | None  # that the client waits, from the arrival on
    work_ms: float | None  # of a core, that the client expects the run to take
    memory_kb: float
    idempotency_key: str | None
    content: str  # body, in base64
