"""Orders of committed steps, as the leader gives them to the agents. No I/O; times in ms."""

from typing import Protocol

from vetchford.fleet.availability import Availability
from vetchford.fleet.coordinator_messages import Step
from vetchford.fleet.fleet_record import FleetRollout, StepState, agent_of, split_instance_key
from vetchford.fleet.fleet_view import NEVER, AgentView, AttemptState

ORDER_RETRY_INTERVAL_MS = 500.0  # until an order that shows no effect is given once more


class OrderActions(Protocol):
    """What orders are sent through."""

    def order(self, agent: str, number: int, step: Step) -> None:
        """Has an agent carry out a committed step; `number`: the report that the order rests on."""


class StepDispatcher:
    """Orders the steps of the committed record; has no state that the record and the reports have not.

    Invariant: only what is committed is ordered. So the next leader finds each step that may have begun.
    """

    def __init__(self, actions: OrderActions) -> None:
        """`actions`: the controller's."""
        self.actions = actions

    def give_orders(self, committed: Availability) -> None:
        """Orders the committed steps, also those of an earlier leader, that no fresh report shows begun.

        `committed`: the committed record against the reports, now.
        """
        for rollout in committed.record.unfinished():
            for key, step in rollout.steps.items():
                if step == StepState.IN_PROGRESS and committed.is_fresh(agent_of(key)):
                    self.order_step(committed, rollout, key)

    def order_step(self, committed: Availability, rollout: FleetRollout, key: str) -> None:
        """Orders one step, unless its agent has begun it or was told a moment ago."""
        name, agent = split_instance_key(key)
        view = committed.view.agents[agent]
        attempt_id = rollout.attempt_id(key)
        if not self.needs_order(committed, rollout, key, view):
            return
        view.ordered_at_ms[attempt_id] = committed.now_ms
        step = Step(
            id=attempt_id,
            rollout_id=rollout.id,
            kind=rollout.step_kind(key),
            name=name,
            minimum_ready_ms=rollout.minimum_ready_ms,
            version=rollout.step_version(key),
        )
        self.actions.order(agent, view.number, step)

    def needs_order(self, committed: Availability, rollout: FleetRollout, key: str, view: AgentView) -> bool:
        """Whether a committed step is to be ordered now.

        One that has not begun is, while the minimum allows it: other instances may have failed since the step
        was committed. One that the agent's store has paused is, as the order resumes it. Either not again
        before `ORDER_RETRY_INTERVAL_MS`.
        """
        attempt_id = rollout.attempt_id(key)
        result = view.result(attempt_id)
        if result is None and committed.shortfall(rollout, key):
            return False
        if result is not None and result.state != AttemptState.PAUSED:
            return False
        ordered_at_ms = view.ordered_at_ms.get(attempt_id, NEVER)
        return committed.now_ms - ordered_at_ms >= ORDER_RETRY_INTERVAL_MS
