"""An agent's report to the leader: its instances, and the results of the steps that it was ordered."""

from collections.abc import Container

from vetchford.fleet.agent_settings import AgentSettings, InstanceDefinition
from vetchford.fleet.fleet_view import AgentReport, InstanceReport
from vetchford.fleet.instance import Instance
from vetchford.fleet.local_steps import step_results
from vetchford.fleet.rollout_controller import RolloutController


class FullInstanceReport(InstanceReport):
    """One instance with fields that only tools show; the leader decides on those of `InstanceReport`."""

    why: str  # reason for the last change of state
    labels: list[str]
    killed: int  # number of kills at its stop timeout


def make_report(
    controller: RolloutController, settings: AgentSettings, rollouts: Container[str]
) -> AgentReport:
    """Report all instances of this agent, and its local rollouts that belong to fleet `rollouts`."""
    return {
        "instances": {
            instance.name: report_instance(controller, instance, settings.instances[instance.name])
            for instance in controller.instances.values()
        },
        "locals": step_results(controller, rollouts),
        "versions": sorted(settings.versions),
    }


def report_instance(
    controller: RolloutController, instance: Instance, definition: InstanceDefinition
) -> FullInstanceReport:
    """Report one instance."""
    rollout = controller.rollout_of(instance.name)
    return {
        "state": instance.state,
        "unseen": instance.awaiting_first_check,
        "group": instance.settings.group,
        "why": instance.reason,
        "version": instance.running_version or instance.version,
        "declared": definition.version,
        "wanted": instance.wanted,
        "labels": definition.labels,
        "killed": instance.kill_count,
        "change": rollout.id if rollout else "",
    }
