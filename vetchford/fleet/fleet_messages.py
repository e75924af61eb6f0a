"""Requests of tools to a whole fleet and their replies, as typed values and in encoded form.

They are sent inside a `FleetRequest` of `agent_messages`, whose rules for encoded names and values apply. An
agent forwards a request for the leader undecoded, so that the leader and the tool may run a later version
than the agent between them.
"""

from typing import Any, TypeAlias

import msgspec

from vetchford.fleet.agent_messages import (
    ENCODED_KIND,
    AbortRequest,
    ControlRequest,
    EncodedReply,
    EncodedRequest,
    FindRequest,
    PauseRequest,
    ResumeRequest,
    RolloutRequest,
    RolloutStatus,
    encoded_kind,
)
from vetchford.fleet.decoding import read_fields
from vetchford.fleet.rollout import RefusedError

# -- requests


class FleetStatusRequest(msgspec.Struct, frozen=True, tag_field=ENCODED_KIND, tag="all"):
    """Return all instances and rollouts of the fleet."""


class FleetSubmitRequest(msgspec.Struct, frozen=True, tag_field=ENCODED_KIND, tag="span"):
    """Start a fleet rollout."""

    rollout: EncodedRequest = msgspec.field(name="change")  # a RolloutRequest, decoded once agents reported


class FleetPlanRequest(msgspec.Struct, frozen=True, tag_field=ENCODED_KIND, tag="plan"):
    """Return the plan of a fleet rollout."""

    rollout: EncodedRequest = msgspec.field(name="change")


class AdmitRequest(msgspec.Struct, frozen=True, tag_field=ENCODED_KIND, tag="admit"):
    """Make an agent a member of the fleet."""

    agent: str = msgspec.field(name="name")
    operator: str = msgspec.field(name="by")  # stored in the log of member changes


class DismissRequest(msgspec.Struct, frozen=True, tag_field=ENCODED_KIND, tag="dismiss"):
    """Remove an agent from the members of the fleet."""

    agent: str = msgspec.field(name="name")
    operator: str = msgspec.field(name="by")


class PeersRequest(msgspec.Struct, frozen=True, tag_field=ENCODED_KIND, tag="peers"):
    """Return the state of the other agents as seen by the agent that replies."""


LocalRequest: TypeAlias = ControlRequest | FindRequest | PeersRequest
ReportsRequest: TypeAlias = FleetStatusRequest | FleetSubmitRequest | FleetPlanRequest
MembershipRequest: TypeAlias = AdmitRequest | DismissRequest
LeaderRequest: TypeAlias = ReportsRequest | MembershipRequest

# Requests that any agent answers, and requests that only the leader answers.
LOCAL_REQUEST_TYPES: dict[str, type[LocalRequest]] = {
    encoded_kind(request_type): request_type
    for request_type in (PauseRequest, ResumeRequest, AbortRequest, FindRequest, PeersRequest)
}
LEADER_REQUEST_TYPES: dict[str, type[LeaderRequest]] = {
    encoded_kind(request_type): request_type
    for request_type in (
        FleetStatusRequest,
        FleetSubmitRequest,
        FleetPlanRequest,
        AdmitRequest,
        DismissRequest,
    )
}
STATUS_KIND = encoded_kind(FleetStatusRequest)


# -- replies


class ControlReply(msgspec.Struct, frozen=True):
    """The reply to a pause, resume or abort."""

    id: str
    state: str
    reason: str = msgspec.field(name="why")
    obeyed_by: str  # the agent that replies
    leader: str = msgspec.field(name="driver")  # as seen by that agent; empty if unknown


class RolloutProgress(msgspec.Struct, frozen=True):
    """What the replying agent adds to the fields that the replicated record holds of a rollout."""

    state: str
    reason: str = msgspec.field(name="why")
    waits_for: str = msgspec.field(name="waits")  # empty if no reason to wait is known
    leader: str = msgspec.field(name="driver")  # empty if unknown
    leader_silence_ms: int = msgspec.field(name="driver_heard_ms")  # 0 on the leader itself
    term: int
    revision: int
    replied_by: str = msgspec.field(name="told_by")


class RolloutSummary(msgspec.Struct, frozen=True):
    """A fleet rollout in the reply to a `FleetStatusRequest`."""

    id: str
    kind: str
    state: str
    reason: str = msgspec.field(name="why")
    waits_for: str = msgspec.field(name="waits")


class LeaderStatusReply(msgspec.Struct, frozen=True):
    """The leader's reply to a `FleetStatusRequest`."""

    instances: dict[str, Any]  # `fleet_view.InstanceReport` by instance key
    unseen_agents: list[str] = msgspec.field(name="unknown")
    leader: str = msgspec.field(name="driver")
    rollouts: list[RolloutSummary] = msgspec.field(name="spans")


class AgentStatusReply(msgspec.Struct, frozen=True):
    """The reply of an agent that knows no leader, about its own instances; the field order differs."""

    instances: dict[str, Any]
    leader: str = msgspec.field(name="driver")
    unseen_agents: list[str] = msgspec.field(name="unknown")
    rollouts: list[RolloutSummary] = msgspec.field(name="spans")


class MembersReply(msgspec.Struct, frozen=True):
    """The reply to an `AdmitRequest` or `DismissRequest`."""

    members: list[str]
    log: list[Any]  # changes of members and voters


# -- replies as decoded by tools


class FleetInstanceStatus(msgspec.Struct, frozen=True):
    """One instance in a `FleetStatus`."""

    state: str
    group: str
    reason: str = msgspec.field(name="why")
    version: str
    labels: list[str]
    rollout_id: str = msgspec.field(name="change")  # of its agent's local rollout; empty if there is none


class FleetStatus(msgspec.Struct, frozen=True):
    """The status of a fleet, from the leader or another agent."""

    instances: dict[str, FleetInstanceStatus]  # by key ("n1@east")
    unseen_agents: list[str]
    rollouts: list[RolloutSummary]


class FleetRolloutStatus(RolloutStatus, frozen=True):
    """A fleet rollout as known to the replying agent."""

    batch: int
    minimum_available: int = msgspec.field(name="floor")
    waits_for: str = msgspec.field(name="waits")
    leader: str = msgspec.field(name="driver")
    leader_silence_ms: int = msgspec.field(name="driver_heard_ms")
    term: int
    revision: int
    replied_by: str = msgspec.field(name="told_by")


class PeerStatus(msgspec.Struct, frozen=True):
    """Another agent as seen by the replying agent."""

    name: str
    view: str
    link: str
    incarnation: int = msgspec.field(name="life")
    member: bool
    voter: bool
    reason: str = msgspec.field(name="why")  # for the last loss of the link


class RecordStatus(msgspec.Struct, frozen=True):
    """An agent's role in the replication of the record."""

    role: str
    leader: str = msgspec.field(name="driver")
    counted: bool  # whether its vote counts


class PeersReply(msgspec.Struct, frozen=True):
    """The reply to a `PeersRequest`."""

    name: str
    fleet: str
    incarnation: int
    peers: list[PeerStatus]
    record: RecordStatus


# -- codec


def decode_local_request(encoded: EncodedRequest) -> LocalRequest | None:
    """Decode a request that any agent answers; return None for any other request.

    Raises KeyError for a missing field.
    """
    kind = encoded[ENCODED_KIND]
    if kind not in tuple(LOCAL_REQUEST_TYPES):  # a tuple, as `kind` may be unhashable
        return None
    return read_fields(LOCAL_REQUEST_TYPES[kind], encoded)


def decode_leader_request(encoded: EncodedRequest) -> LeaderRequest:
    """Decode a request that only the leader answers.

    Raises RefusedError for another kind, KeyError for a missing field.
    """
    kind = encoded[ENCODED_KIND]
    if kind not in tuple(LEADER_REQUEST_TYPES):
        raise RefusedError(f"unknown kind of request: '{kind}'")
    return read_fields(LEADER_REQUEST_TYPES[kind], encoded)


def decode_rollout_request(encoded: EncodedRequest) -> RolloutRequest:
    """Decode the rollout that a tool requests. Raises KeyError for a missing field."""
    return read_fields(RolloutRequest, encoded)


def decode_fleet_status(encoded: EncodedReply) -> FleetStatus:
    """Decode the reply to a `FleetStatusRequest`. Raises KeyError for a missing field."""
    instances = {
        key: read_fields(FleetInstanceStatus, instance) for key, instance in encoded["instances"].items()
    }
    return FleetStatus(
        instances=instances,
        unseen_agents=encoded["unknown"],
        rollouts=[read_fields(RolloutSummary, rollout) for rollout in encoded["spans"]],
    )


def decode_fleet_rollout(encoded: EncodedReply) -> FleetRolloutStatus:
    """Decode the reply to a `FindRequest` in a fleet. Raises KeyError for a missing field."""
    return read_fields(FleetRolloutStatus, encoded)


def decode_control(encoded: EncodedReply) -> ControlReply:
    """Decode the reply to a pause, resume or abort. Raises KeyError for a missing field."""
    return read_fields(ControlReply, encoded)


def decode_members(encoded: EncodedReply) -> MembersReply:
    """Decode the reply to an `AdmitRequest` or `DismissRequest`. Raises KeyError for a missing field."""
    return read_fields(MembersReply, encoded)


def decode_peers(encoded: EncodedReply) -> PeersReply:
    """Decode the reply to a `PeersRequest`. Raises KeyError for a missing field."""
    return PeersReply(
        name=encoded["name"],
        fleet=encoded["fleet"],
        incarnation=encoded["life"],
        peers=[read_fields(PeerStatus, row) for row in encoded["peers"]],
        record=read_fields(RecordStatus, encoded["book"]),
    )
