"""Checks of a requested rollout before it begins. They change no state; RefusedError names the fault."""

from vetchford.fleet.instance import InstanceState
from vetchford.fleet.instance_manager import InstanceManager
from vetchford.fleet.rollout import RefusedError, Rollout
from vetchford.fleet.rollout_rules import check_kind_and_policy, check_limits, check_minimum_available
from vetchford.fleet.rollout_table import RolloutTable


def find_submitted(rollout: Rollout, table: RolloutTable) -> Rollout | None:
    """Return the rollout that an earlier, identical request with this id began.

    Raises RefusedError if the id belongs to another request.
    """
    known = table.rollouts.get(rollout.id)
    if known is None:
        return None
    if (known.kind, known.targets, known.version) != (rollout.kind, rollout.targets, rollout.version):
        raise RefusedError(
            f"id {rollout.id} is already used by another change "
            f"({known.kind} of {len(known.targets)} instances)"
        )
    return known


def validate(rollout: Rollout, manager: InstanceManager, table: RolloutTable) -> None:
    """Raise RefusedError if this rollout must not begin."""
    check_kind_and_policy(rollout.kind, rollout.on_failure)
    _check_targets(rollout, manager)
    _check_no_other_rollout(rollout, table)
    check_limits(rollout.batch, rollout.minimum_available)
    _check_minimum_available(rollout, manager)


def _check_targets(rollout: Rollout, manager: InstanceManager) -> None:
    unknown = [name for name in rollout.targets if name not in manager.instances]
    if unknown:
        raise RefusedError(f"no such instance: {', '.join(unknown)}")
    if not rollout.targets:
        raise RefusedError("the change names no instance")
    if len(set(rollout.targets)) < len(rollout.targets):
        raise RefusedError(f"the change names an instance twice: {', '.join(rollout.targets)}")


def _check_no_other_rollout(rollout: Rollout, table: RolloutTable) -> None:
    for name in rollout.targets:
        other = table.rollout_of(name)
        if other is not None:
            raise RefusedError(f"{name} is in change {other.id}, which is {other.state}")


def _check_minimum_available(rollout: Rollout, manager: InstanceManager) -> None:
    available = manager.count_serving(manager.in_groups_of(rollout.targets))
    affected = sum(manager.instances[name].state == InstanceState.SERVING for name in rollout.targets)
    check_minimum_available(rollout.kind, available, affected, rollout.minimum_available)
