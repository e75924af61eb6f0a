"""The typed records that the rest of the program gets, through msgspec."""

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

Share = Annotated[float, Meta(gt=0.0, le=1.0)]


class Pool(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """As #Pool of the schema; durations in ms."""

    stages: Annotated[list[str], Meta(min_length=1, max_length=64)]
    share: Share
    bytes: Share
    calls: Share
    reserve: Annotated[int, Meta(ge=0, le=8)]
    lends: bool
    borrows: bool
    most_calls: Annotated[int, Meta(ge=1, le=256)]
    call_budget: float | None = None


class Instance(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """As #Instance of the schema; durations in ms."""

    command: Annotated[list[str], Meta(min_length=1)]
    listen: Annotated[str, Meta(pattern=r"^[0-9.]+:[0-9]{1,5}$")]
    version: str
    group: str
    labels: list[str]
    stop_ms: float
    ready_ms: float
    restart: bool
    environment: dict[str, str]
    log_mb: Annotated[int, Meta(ge=1, le=4096)]
    descriptors: Annotated[int, Meta(ge=16, le=1 << 20)] | None = None
    memory_mb: Annotated[int, Meta(ge=1, le=1 << 20)] | None = None


Address = Annotated[str, Meta(pattern=r"^[0-9.]+:[0-9]{1,5}$")]


class SessionManager(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """As #Peers of the schema."""

    fleet: Annotated[str, Meta(min_length=1, max_length=64)]
    name: Annotated[str, Meta(min_length=1, max_length=64)]
    listen: Address
    agents: Annotated[dict[str, Address], Meta(min_length=1, max_length=64)]


class Agent(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """As #Agent of the schema."""

    socket: Annotated[str, Meta(min_length=1, max_length=100)]
    store: Annotated[str, Meta(min_length=1)]
    logs: Annotated[str, Meta(min_length=1)]
    instances: Annotated[dict[str, Instance], Meta(min_length=1, max_length=1000)]
    versions: dict[str, list[str]]
    peers: SessionManager | None = None


class Together(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """As #Together of the schema."""

    fleet: Annotated[str, Meta(min_length=1, max_length=64)]
    name: Annotated[str, Meta(min_length=1, max_length=64)]
    listen: Address
    servers: Annotated[dict[str, Address], Meta(min_length=1, max_length=1000)]
    keepers: Annotated[list[str], Meta(min_length=1, max_length=7)]
    zone: str
    probes: Annotated[int, Meta(ge=1, le=16)]
    turns: Annotated[dict[str, Annotated[int, Meta(ge=1, le=1000)]], Meta(max_length=31)]
    records: bool
    full: bool


class Declared(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    version: Literal[1]
    pools: Literal["none", "derived"] | Annotated[dict[str, Pool], Meta(max_length=16)]
    agent: Agent | None = None
    together: Together | None = None


def typed(plain: object) -> Declared:
    """Raises msgspec.ValidationError, whose text ends with the path."""
    return msgspec.convert(plain, Declared)
