"""Requests of tools to an agent and its replies, as they are on its socket: one JSON object a line.

Agents and tools of different versions communicate, so the encoded values here do not change.
"""

from enum import StrEnum
from typing import Any, TypedDict


class RequestKind(StrEnum):
    """What a tool asks of one agent, in the field `ask`."""

    STATUS = "status"
    ROLLOUT = "change"
    PAUSE = "pause"
    RESUME = "resume"
    ABORT = "abort"
    HISTORY = "history"
    EXPLAIN = "explain"
    FIND = "find"


# Passed on to the agents of the fleet together; the field `request` holds one of FleetRequestKind.
FLEET_REQUEST = "across"


class FleetRequestKind(StrEnum):
    """What a tool asks of all agents of a fleet, in the field `ask`."""

    STATUS = "all"
    ROLLOUT = "span"
    PLAN = "plan"
    PAUSE = "pause"
    RESUME = "resume"
    ABORT = "abort"
    FIND = "find"
    ADMIT = "admit"
    DISMISS = "dismiss"
    PEERS = "peers"


class InstanceStatus(TypedDict):
    """One instance in the reply to STATUS."""

    name: str
    state: str
    version: str
    why: str
    group: str
    labels: list[str]
    wanted: bool
    for_ms: int  # in this state
    restarts: int
    killed: int
    pid: int  # 0: no process
    memory_kb: int
    change: str  # id of the rollout that it is part of; empty: none


class RolloutStatus(TypedDict):
    """The reply to ROLLOUT, PAUSE, RESUME, ABORT and FIND."""

    id: str
    kind: str
    state: str
    why: str
    steps: dict[str, str]
    killed: list[str]


class StatusReply(TypedDict):
    """The reply to STATUS."""

    instances: list[InstanceStatus]
    changes: list[RolloutStatus]


class PlanReply(TypedDict):
    """The reply to ROLLOUT with `dry_run`."""

    plan: list[str]
    batch: int
    floor: int


class HistoryEntry(TypedDict):
    """One record of the store's history."""

    at: float  # Unix time, s
    kind: str
    name: str
    body: dict[str, Any] | None  # None: it was dropped


class HistoryReply(TypedDict):
    """The reply to HISTORY."""

    history: list[HistoryEntry]


class ExplainReply(TypedDict):
    """The reply to EXPLAIN."""

    said: str
    history: list[HistoryEntry]


class RefusedReply(TypedDict):
    """The reply to any request that was not carried out."""

    refused: str


Reply = StatusReply | RolloutStatus | PlanReply | HistoryReply | ExplainReply | RefusedReply | dict[str, Any]
