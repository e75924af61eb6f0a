"""Typed records of the settings.

Field names are the keys of the settings files; each class names its definition in `schema.vet`.
"""

from typing import Annotated, Literal, TypeAlias

import msgspec
from msgspec import Meta

Share: TypeAlias = Annotated[float, Meta(gt=0.0, le=1.0)]
Name: TypeAlias = Annotated[str, Meta(min_length=1, max_length=64)]
Address: TypeAlias = Annotated[str, Meta(pattern=r"^[0-9.]+:[0-9]{1,5}$")]


class PoolSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`#Pool`: request classes with capacity of their own; durations in ms."""

    stages: Annotated[list[str], Meta(min_length=1, max_length=64)]
    share: Share
    bytes: Share
    calls: Share
    reserve: Annotated[int, Meta(ge=0, le=8)]
    lends: bool
    borrows: bool
    most_calls: Annotated[int, Meta(ge=1, le=256)]
    call_budget: float | None = None


class InstanceSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`#Instance`: a process that an agent owns; durations in ms."""

    command: Annotated[list[str], Meta(min_length=1)]
    listen: Address
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


class AgentPeersSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`#Peers`: an agent as a member of a fleet of several machines."""

    fleet: Name
    name: Name
    listen: Address
    agents: Annotated[dict[str, Address], Meta(min_length=1, max_length=64)]


class AgentSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`#Agent`: the instances of one agent and the paths of its files."""

    socket: Annotated[str, Meta(min_length=1, max_length=100)]
    store: Annotated[str, Meta(min_length=1)]
    logs: Annotated[str, Meta(min_length=1)]
    instances: Annotated[dict[str, InstanceSettings], Meta(min_length=1, max_length=1000)]
    versions: dict[str, list[str]]
    peers: AgentPeersSettings | None = None


class ServerFleetSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`#Together`: a server as a member of its fleet."""

    fleet: Name
    name: Name
    listen: Address
    servers: Annotated[dict[str, Address], Meta(min_length=1, max_length=1000)]
    keepers: Annotated[list[str], Meta(min_length=1, max_length=7)]
    zone: str
    probes: Annotated[int, Meta(ge=1, le=16)]
    turns: Annotated[dict[str, Annotated[int, Meta(ge=1, le=1000)]], Meta(max_length=31)]
    records: bool
    full: bool


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`#Settings`: the settings that all files declare together."""

    version: Literal[1]
    pools: Literal["none", "derived"] | Annotated[dict[str, PoolSettings], Meta(max_length=16)]
    agent: AgentSettings | None = None
    together: ServerFleetSettings | None = None
