"""Requests of tools to the agents of a fleet together and the replies: typed, and in their encoded form.

They travel inside a `FleetRequest` of `agent_messages`, whose rules on words and values are those here. An
agent passes a request that only the leader answers on as it came, so that leader and tool may be of a later
version than the agent between them.
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
    kind_of,
)
from vetchford.fleet.decoding import read_fields
from vetchford.fleet.rollout import RefusedError

# -- requests


class FleetStatusRequest(msgspec.Struct, frozen=True, tag_field=ENCODED_KIND, tag="all"):
    """All instances and rollouts of the fleet."""


class FleetSubmitRequest(msgspec.Struct, frozen=True, tag_field=ENCODED_KIND, tag="span"):
    """Begin a fleet rollout."""

    rollout: EncodedRequest = msgspec.field(name="change")  # a RolloutRequest, decoded once agents reported


class FleetPlanRequest(msgspec.Struct, frozen=True, tag_field=ENCODED_KIND, tag="plan"):
    """Say what a fleet rollout would do."""

    rollout: EncodedRequest = msgspec.field(name="change")


class AdmitRequest(msgspec.Struct, frozen=True, tag_field=ENCODED_KIND, tag="admit"):
    """Make an agent a member of the fleet."""

    agent: str = msgspec.field(name="name")
    operator: str = msgspec.field(name="by")  # for the record


class DismissRequest(msgspec.Struct, frozen=True, tag_field=ENCODED_KIND, tag="dismiss"):
    """Remove an agent from the members of the fleet."""

    agent: str = msgspec.field(name="name")
    operator: str = msgspec.field(name="by")


class PeersRequest(msgspec.Struct, frozen=True, tag_field=ENCODED_KIND, tag="peers"):
    """What the asked agent sees of the others."""


LocalRequest: TypeAlias = ControlRequest | FindRequest | PeersRequest
ReportsRequest: TypeAlias = FleetStatusRequest | FleetSubmitRequest | FleetPlanRequest
MembershipRequest: TypeAlias = AdmitRequest | DismissRequest
LeaderRequest: TypeAlias = ReportsRequest | MembershipRequest

# Those that any agent answers by itself, and those that only the leader does.
LOCAL_REQUEST_TYPES: dict[str, type[LocalRequest]] = {
    kind_of(request_type): request_type
    for request_type in (PauseRequest, ResumeRequest, AbortRequest, FindRequest, PeersRequest)
}
LEADER_REQUEST_TYPES: dict[str, type[LeaderRequest]] = {
    kind_of(request_type): request_type
    for request_type in (
        FleetStatusRequest,
        FleetSubmitRequest,
        FleetPlanRequest,
        AdmitRequest,
        DismissRequest,
    )
}
STATUS_KIND = kind_of(FleetStatusRequest)


# -- replies


class ControlReply(msgspec.Struct, frozen=True):
    """The reply to a pause, resume or abort."""

    id: str
    state: str
    reason: str = msgspec.field(name="why")
    obeyed_by: str  # the agent that replies
    leader: str = msgspec.field(name="driver")  # that it sees; empty: none


class RolloutProgress(msgspec.Struct, frozen=True):
    """What the agent that replies adds to the record of a rollout."""

    state: str
    reason: str = msgspec.field(name="why")
    waits_for: str = msgspec.field(name="waits")  # empty: nothing that is known
    leader: str = msgspec.field(name="driver")  # empty: none is seen
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

    instances: dict[str, Any]  # reports of instances by key, see `fleet_view.InstanceReport`
    unseen_agents: list[str] = msgspec.field(name="unknown")
    leader: str = msgspec.field(name="driver")
    rollouts: list[RolloutSummary] = msgspec.field(name="spans")


class AgentStatusReply(msgspec.Struct, frozen=True):
    """The reply of an agent that sees no leader, over its own instances; the fields are in another order."""

    instances: dict[str, Any]
    leader: str = msgspec.field(name="driver")
    unseen_agents: list[str] = msgspec.field(name="unknown")
    rollouts: list[RolloutSummary] = msgspec.field(name="spans")


class MembersReply(msgspec.Struct, frozen=True):
    """The reply to an `AdmitRequest` or `DismissRequest`."""

    members: list[str]
    log: list[Any]  # of changes of members and voters


# -- replies as tools read them


class FleetInstanceStatus(msgspec.Struct, frozen=True):
    """One instance in the status of a fleet."""

    state: str
    group: str
    reason: str = msgspec.field(name="why")
    version: str
    labels: list[str]
    rollout_id: str = msgspec.field(name="change")  # of its agent's rollout; empty: none


class FleetStatus(msgspec.Struct, frozen=True):
    """The status of a fleet, whoever replied."""

    instances: dict[str, FleetInstanceStatus]  # by key ("n1@east")
    unseen_agents: list[str]
    rollouts: list[RolloutSummary]


class FleetRolloutStatus(RolloutStatus, frozen=True):
    """A fleet rollout as the agent that replies knows it."""

    batch: int
    minimum_available: int = msgspec.field(name="floor")
    waits_for: str = msgspec.field(name="waits")
    leader: str = msgspec.field(name="driver")
    leader_silence_ms: int = msgspec.field(name="driver_heard_ms")
    term: int
    revision: int
    replied_by: str = msgspec.field(name="told_by")


class PeerStatus(msgspec.Struct, frozen=True):
    """Another agent, as the agent that replies sees it."""

    name: str
    view: str
    link: str
    incarnation: int = msgspec.field(name="life")
    member: bool
    voter: bool
    reason: str = msgspec.field(name="why")  # of the last loss of its link


class RecordStatus(msgspec.Struct, frozen=True):
    """An agent's part in the replicated record."""

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
    """Return a request that any agent answers, or None for one that is the leader's.

    Raises KeyError for a field that is missing.
    """
    kind = encoded[ENCODED_KIND]
    if kind not in tuple(LOCAL_REQUEST_TYPES):  # a tuple: `kind` may be a value that has no hash
        return None
    return read_fields(LOCAL_REQUEST_TYPES[kind], encoded)


def decode_leader_request(encoded: EncodedRequest) -> LeaderRequest:
    """Return a request that the leader answers.

    Raises RefusedError for another kind, KeyError for a field that is missing.
    """
    kind = encoded[ENCODED_KIND]
    if kind not in tuple(LEADER_REQUEST_TYPES):
        raise RefusedError(f"'{kind}' is none that is known")
    return read_fields(LEADER_REQUEST_TYPES[kind], encoded)


def decode_rollout_request(encoded: EncodedRequest) -> RolloutRequest:
    """Return the rollout that a tool asks for. Raises KeyError for a field that is missing."""
    return read_fields(RolloutRequest, encoded)


def decode_fleet_status(encoded: EncodedReply) -> FleetStatus:
    """Return the reply to a `FleetStatusRequest`. Raises KeyError for a field that is missing."""
    instances = {key: read_fields(FleetInstanceStatus, one) for key, one in encoded["instances"].items()}
    return FleetStatus(
        instances=instances,
        unseen_agents=encoded["unknown"],
        rollouts=[read_fields(RolloutSummary, rollout) for rollout in encoded["spans"]],
    )


def decode_fleet_rollout(encoded: EncodedReply) -> FleetRolloutStatus:
    """Return the reply to a `FindRequest` in a fleet. Raises KeyError for a field that is missing."""
    return read_fields(FleetRolloutStatus, encoded)


def decode_control(encoded: EncodedReply) -> ControlReply:
    """Return the reply to a pause, resume or abort. Raises KeyError for a field that is missing."""
    return read_fields(ControlReply, encoded)


def decode_members(encoded: EncodedReply) -> MembersReply:
    """Return the reply to an `AdmitRequest` or `DismissRequest`. Raises KeyError likewise."""
    return read_fields(MembersReply, encoded)


def decode_peers(encoded: EncodedReply) -> PeersReply:
    """Return the reply to a `PeersRequest`. Raises KeyError for a field that is missing."""
    return PeersReply(
        name=encoded["name"],
        fleet=encoded["fleet"],
        incarnation=encoded["life"],
        peers=[read_fields(PeerStatus, row) for row in encoded["peers"]],
        record=read_fields(RecordStatus, encoded["book"]),
    )
