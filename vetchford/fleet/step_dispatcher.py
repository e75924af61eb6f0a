"""Sends the leader's orders to carry out committed steps. No I/O; times in ms."""

from collections.abc import Container
from typing import Protocol

from vetchford.fleet.availability import Availability
from vetchford.fleet.coordinator_messages import Step
from vetchford.fleet.fleet_record import FleetRollout, StepState, agent_of, split_instance_key
from vetchford.fleet.fleet_view import NEVER_MS, AgentView, AttemptState

ORDER_RETRY_INTERVAL_MS = 500.0  # until an order without effect in the reports is sent again


class OrderActions(Protocol):
    """Operations through which orders are sent."""

    def order(self, agent: str, number: int, step: Step) -> None:
        """Order an agent to carry out a committed step; `number`: the report that the order is based on."""


class StepDispatcher:
    """Orders the steps of the committed record; has no state besides the record and the reports.

    Invariant: only committed steps are ordered, so the next leader's record has every step that may have
    begun.
    """

    def __init__(self, actions: OrderActions) -> None:
        """Start with the controller's actions."""
        self.actions = actions

    def order_committed_steps(self, committed: Availability, aborted: Container[str]) -> None:
        """Order the committed steps that a fresh report shows as not begun, also those of an earlier leader.

        Args:
            committed: the availability of instances by the committed record and the reports.
            aborted: ids of rollouts that were aborted; of those only steps that have begun are ordered.
        """
        for rollout in committed.record.unfinished():
            for key, step in rollout.steps.items():
                if step == StepState.IN_PROGRESS and committed.is_fresh(agent_of(key)):
                    self.order_step(committed, rollout, key, rollout.id in aborted)

    def order_step(self, committed: Availability, rollout: FleetRollout, key: str, is_aborted: bool) -> None:
        """Order one step, unless its agent has begun it or was sent the order recently."""
        name, agent = split_instance_key(key)
        view = committed.view.agents[agent]
        attempt_id = rollout.attempt_id(key)
        if is_aborted and view.result(attempt_id) is None:
            return
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
        """Return whether a committed step is to be ordered now.

        A step that has not begun is ordered while the minimum allows it: other instances may have failed
        since the step was committed. A step that paused because the agent's store failed is ordered again,
        which resumes it. No order is repeated within `ORDER_RETRY_INTERVAL_MS`.
        """
        attempt_id = rollout.attempt_id(key)
        result = view.result(attempt_id)
        if result is None and committed.describe_shortfall(rollout, key):
            return False
        if result is not None and result.state != AttemptState.PAUSED:
            return False
        ordered_at_ms = view.ordered_at_ms.get(attempt_id, NEVER_MS)
        return committed.now_ms - ordered_at_ms >= ORDER_RETRY_INTERVAL_MS
