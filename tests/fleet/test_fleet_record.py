"""Steps of a fleet rollout, forward and while it is undone."""

import pytest

from vetchford.fleet.fleet_record import FleetRollout, StepState

KEY = "n1@east"


def fleet_rollout(kind, was_wanted, rolling_back):
    return FleetRollout(
        id="r1",
        kind=kind,
        version="v2" if kind == "roll" else "",
        batch=1,
        minimum_available=0,
        start_interval_ms=0.0,
        minimum_ready_ms=0.0,
        on_failure="back",
        groups=["default"],
        steps={KEY: StepState.PENDING},
        attempts={KEY: 1},
        previous_states={KEY: ["v1", was_wanted]},
        rolling_back=rolling_back,
    )


@pytest.mark.parametrize("kind", ["start", "stop", "restart", "roll"])
def test_an_undone_step_leaves_an_instance_stopped_that_was_stopped_before(kind):
    # Guards against review/8: the way back of a roll or a restart started it, of a stop too.
    rollout = fleet_rollout(kind, was_wanted=False, rolling_back=True)
    assert rollout.step_kind(KEY) == "stop"
    assert rollout.step_version(KEY) == ("v1" if kind == "roll" else "")


@pytest.mark.parametrize(
    ("kind", "back", "version"),
    [("start", "start", ""), ("stop", "start", ""), ("restart", "restart", ""), ("roll", "roll", "v1")],
)
def test_an_undone_step_returns_an_instance_that_served_to_what_it_was(kind, back, version):
    rollout = fleet_rollout(kind, was_wanted=True, rolling_back=True)
    assert (rollout.step_kind(KEY), rollout.step_version(KEY)) == (back, version)
    forward = fleet_rollout(kind, was_wanted=False, rolling_back=False)
    assert (forward.step_kind(KEY), forward.step_version(KEY)) == (kind, "v2" if kind == "roll" else "")
