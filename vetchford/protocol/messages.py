"""Typed values that codecs decode messages into."""

from dataclasses import dataclass


@dataclass(slots=True)
class IncomingRequest:
    """One request as a client sent it, with class and tenant given as indices."""

    rpc_id: int  # JSON-RPC id, repeated in the answer
    request_id: str  # unique among the requests that the server knows
    request_class: int
    method: str  # name of the request class on the wire
    tenant: int  # -1: no tenant is named
    client_number: int  # of its connection, which no client can choose
    arrived_at_unix_ms: float  # when the request reached this machine, as the client says
    unread_since_unix_ms: float  # it was certainly not received before this time
    client_timeout_ms: float | None  # how long the client waits, counted from the arrival
    work_ms: float | None  # time on one core that the client expects the run to take
    memory_kb: float
    idempotency_key: str | None
    content: str  # body, in base64
    over_open_limit: bool = False  # its connection has as many open requests as it may have
