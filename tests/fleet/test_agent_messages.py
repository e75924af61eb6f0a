"""Requests and replies between tools and agents: decoding of fields, refusal of malformed requests."""

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


def test_the_error_for_a_missing_field_names_its_encoded_key():
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


def test_an_optional_field_defaults_and_unknown_fields_are_ignored():
    assert decode_request("history", {"ask": "history", "colour": "red"}) == HistoryRequest(50)
    assert decode_request("history", {"ask": "history", "most": 3}) == HistoryRequest(3)


def test_decoding_does_not_check_the_types_of_values():
    assert read_fields(FindRequest, {"id": 5}).id == 5


def test_the_refusal_of_a_malformed_request_names_the_exception_type():
    problem = KeyError("id")
    refusal = MalformedRequestError(problem)
    assert str(refusal) == "malformed request: KeyError: 'id'"
    assert refusal.problem is problem and isinstance(refusal, RefusedError)


def test_encoded_kinds_of_requests_to_an_agent_are_unchanged():
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
    ("encoded", "local_request", "leader_request"),
    [
        ({"ask": "pause", "id": "r1"}, PauseRequest("r1"), None),
        ({"ask": "find", "id": "r1"}, FindRequest("r1"), None),
        ({"ask": "peers"}, PeersRequest(), None),
        ({"ask": "all"}, None, FleetStatusRequest()),
        ({"ask": "span", "change": {"id": "r1"}}, None, FleetSubmitRequest({"id": "r1"})),
        ({"ask": "admit", "name": "east", "by": "ann"}, None, AdmitRequest("east", "ann")),
    ],
)
def test_requests_to_a_fleet_are_answered_by_any_agent_or_by_the_leader(
    encoded, local_request, leader_request
):
    assert decode_local_request(encoded) == local_request
    assert encode(local_request or leader_request) == encoded
    if leader_request is not None:
        assert decode_leader_request(encoded) == leader_request


@pytest.mark.parametrize("kind", ["sing", 7, None, ["all"]])
def test_an_unknown_kind_of_request_is_refused_by_the_leader(kind):
    assert decode_local_request({"ask": kind}) is None
    with pytest.raises(RefusedError, match="unknown kind of request: '"):
        decode_leader_request({"ask": kind})
