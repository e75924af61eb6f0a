"""Encoded form of stored rollouts and of tools' requests, which agents and tools of other versions read."""

import copy
import json

import pytest

from vetchford.fleet.instance import Instance, InstanceSettings, InstanceState
from vetchford.fleet.rollout import Rollout, RolloutState, StepState

# A record that version 0.2.0 stored during a roll.
UNFINISHED_ROLL = {
    "id": "r1",
    "kind": "roll",
    "targets": ["n2", "n0", "n1"],
    "version": "v2",
    "batch": 2,
    "floor": 1,
    "spacing": 100.0,
    "soak": 300.0,
    "on_failure": "back",
    "state": "running",
    "steps": {"n0": "done", "n1": "coming", "n2": "pending"},
    "before": {"n0": "v1", "n1": "v1", "n2": "v1"},
    "was_up": {"n0": True, "n1": True, "n2": False},
    "why": "",
    "killed": ["n0"],
}


def test_a_stored_rollout_round_trips_under_the_same_field_names():
    rollout = Rollout.from_record(UNFINISHED_ROLL)
    assert (rollout.minimum_available, rollout.start_spacing_ms, rollout.minimum_ready_ms) == (
        1,
        100.0,
        300.0,
    )
    assert rollout.steps == {"n0": StepState.DONE, "n1": StepState.STARTING, "n2": StepState.PENDING}
    assert rollout.previous_versions["n1"] == "v1" and rollout.previously_wanted["n2"] is False
    assert json.dumps(rollout.to_record(), sort_keys=True) == json.dumps(UNFINISHED_ROLL, sort_keys=True)


@pytest.mark.parametrize("state", list(RolloutState))
def test_a_record_without_a_direction_rolls_back_only_if_its_state_says_so(state):
    rollout = Rollout.from_record({**UNFINISHED_ROLL, "state": state.value})
    assert rollout.rolling_back is (state is RolloutState.ROLLING_BACK)


def test_a_record_is_not_changed_by_later_steps():
    rollout = Rollout.from_record(copy.deepcopy(UNFINISHED_ROLL))
    record = rollout.to_record()
    rollout.steps["n1"] = StepState.DONE
    rollout.killed.append("n1")
    rollout.previous_versions["n2"] = "v0"
    assert record == UNFINISHED_ROLL


def test_a_paused_rollback_round_trips():
    record = {**UNFINISHED_ROLL, "state": "paused", "why": "asked to", "back": True}
    rollout = Rollout.from_record(record)
    assert rollout.rolling_back and rollout.to_record() == record


def test_encoded_state_names_are_unchanged():
    assert [str(step) for step in StepState] == ["pending", "out", "coming", "soaking", "done", "lost"]
    assert [str(state) for state in RolloutState] == [
        "running",
        "paused",
        "back",
        "finished",
        "broken",
        "aborted",
    ]
    assert [str(state) for state in InstanceState] == [
        "absent",
        "starting",
        "serving",
        "draining",
        "stopping",
        "stopped",
        "failed",
        "unknown",
    ]


@pytest.mark.parametrize("name", ["minimum_available", "rolling_back", "reason", "melt"])
def test_a_request_with_an_unknown_field_is_refused(name):
    with pytest.raises(TypeError, match=f"unexpected keyword argument '{name}'"):
        Rollout.from_request({"id": "x", "kind": "stop", "targets": ["n0"], name: 1})


def test_a_stored_instance_round_trips():
    instance = Instance("n0", InstanceSettings(), "1")
    instance.restore({"wanted": True, "version": "v2", "killed": 3})
    assert (instance.wanted, instance.version, instance.kill_count) == (True, "v2", 3)
    assert instance.to_record() == {"wanted": True, "version": "v2", "killed": 3}
