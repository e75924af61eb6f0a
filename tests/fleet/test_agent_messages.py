"""Requests and replies of agent and tool: which fields are read, and how a malformed request is refused."""

import pytest

from vetchford.fleet.agent_messages import (
    REQUEST_KINDS,
    FindRequest,
    HistoryRequest,
    MalformedRequestError,
    decode_request,
    encode,
)
from vetchford.fleet.decoding import read_fields
from vetchford.fleet.fleet_messages import (
    AdmitRequest,
    FleetStatusRequest,
    FleetSubmitRequest,
    PauseRequest,
    PeersRequest,
    decode_leader_request,
    decode_local_request,
    decode_rollout_request,
)
from vetchford.fleet.rollout import RefusedError


def test_a_field_that_is_missing_is_named_by_its_encoded_name():
    with pytest.raises(KeyError, match="'floor'"):
        decode_rollout_request(
            {
                "id": "r1",
                "kind": "stop",
                "targets": [],
                "version": "",
                "spacing": 0.0,
                "soak": 0.0,
                "on_failure": "pause",
                "batch": 1,
            }
        )


def test_an_optional_field_has_its_default_and_unknown_fields_are_ignored():
    assert decode_request("history", {"ask": "history", "colour": "red"}) == HistoryRequest(50)
    assert decode_request("history", {"ask": "history", "most": 3}) == HistoryRequest(3)


def test_values_are_taken_as_they_are():
    assert read_fields(FindRequest, {"id": 5}).id == 5


def test_the_text_of_a_malformed_request_names_the_kind_of_problem():
    problem = KeyError("id")
    refusal = MalformedRequestError(problem)
    assert str(refusal) == "a malformed command: KeyError: 'id'"
    assert refusal.problem is problem and isinstance(refusal, RefusedError)


def test_kinds_of_requests_to_an_agent_are_unchanged():
    assert REQUEST_KINDS == (
        "status",
        "change",
        "pause",
        "resume",
        "abort",
        "history",
        "explain",
        "find",
    )


@pytest.mark.parametrize(
    ("encoded", "local", "leader"),
    [
        ({"ask": "pause", "id": "r1"}, PauseRequest("r1"), None),
        ({"ask": "find", "id": "r1"}, FindRequest("r1"), None),
        ({"ask": "peers"}, PeersRequest(), None),
        ({"ask": "all"}, None, FleetStatusRequest()),
        ({"ask": "span", "change": {"id": "r1"}}, None, FleetSubmitRequest({"id": "r1"})),
        ({"ask": "admit", "name": "east", "by": "ann"}, None, AdmitRequest("east", "ann")),
    ],
)
def test_requests_to_a_fleet_are_answered_by_any_agent_or_by_the_leader(encoded, local, leader):
    assert decode_local_request(encoded) == local
    assert encode(local or leader) == encoded
    if leader is not None:
        assert decode_leader_request(encoded) == leader


@pytest.mark.parametrize("kind", ["sing", 7, None, ["all"]])
def test_a_kind_that_no_version_sends_is_refused_by_the_leader(kind):
    assert decode_local_request({"ask": kind}) is None
    with pytest.raises(RefusedError, match="is none that is known"):
        decode_leader_request({"ask": kind})
