"""Steps of fleet rollouts on this agent, each as a local rollout over one instance.

Only the agent's thread calls this module.
"""

from collections.abc import Container
from typing import Any

from vetchford.fleet.coordinator_messages import Step
from vetchford.fleet.rollout import FailurePolicy, RefusedError, Rollout, RolloutState
from vetchford.fleet.rollout_controller import RolloutController


def begin_step(local: RolloutController, now_ms: float, step: Step) -> str:
    """Start a step, or resume a step that a failed store has paused; return why it was refused, or empty.

    A repeated step changes nothing, as its id is that of the local rollout.
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
    """Return state, reason and killed instances of the steps of `rollouts`, by step id."""
    return {
        id: [rollout.state, rollout.reason, list(rollout.killed)]
        for id, rollout in local.rollouts.items()
        if id.partition("/")[0] in rollouts
    }
