"""Steps of fleet rollouts on this agent: each is a local rollout over one instance. The agent's thread."""

from collections.abc import Container
from typing import Any

from vetchford.fleet.coordinator_messages import Step
from vetchford.fleet.rollout import FailurePolicy, RefusedError, Rollout, RolloutState
from vetchford.fleet.rollout_controller import RolloutController


def begin_step(local: RolloutController, now_ms: float, step: Step) -> str:
    """Starts a step, or resumes one that a failed store has paused; empty, or why it was refused.

    The same step again changes nothing, as its id is that of the local rollout.
    """
    rollout = Rollout(
        step.id,
        step.kind,
        [step.name],
        version=str(step.version),
        minimum_ready_ms=float(step.minimum_ready_ms),
        on_failure=FailurePolicy.CONTINUE,
    )
    try:
        if local.submit(now_ms, rollout).state == RolloutState.PAUSED:
            local.resume(now_ms, rollout.id)
    except (RefusedError, OSError) as problem:
        return str(problem)
    return ""


def step_results(local: RolloutController, rollouts: Container[str]) -> dict[str, list[Any]]:
    """What became of the steps of `rollouts`, by the steps' ids: state, reason and instances killed."""
    return {
        id: [rollout.state, rollout.reason, list(rollout.killed)]
        for id, rollout in local.rollouts.items()
        if id.partition("/")[0] in rollouts
    }
