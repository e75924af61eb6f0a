"""Typed values that the codecs make of messages, free of state and of sockets."""

from dataclasses import dataclass


@dataclass(slots=True)
class IncomingRequest:
    """One request as a client sent it, with the names of its class and tenant resolved to indices."""

    rpc_id: int  # JSON-RPC id, to be repeated in the answer
    request_id: str  # unique among the requests that are known; field `txn`
    request_class: int
    method: str  # name of the request class on the wire
    tenant: int  # -1: none is named
    balancer: int  # number that the balancer gives itself; field `lb`
    arrived_at: float  # Unix ms at which the request reached this machine; field `door`
    time_limit: float | None  # ms from `arrived_at` that the client waits for the answer
    cpu_time: float | None  # ms of a core that the client expects the run to take
    memory_kb: float
    idempotency_key: str | None  # field `unique`
    content: str  # body, in base64
