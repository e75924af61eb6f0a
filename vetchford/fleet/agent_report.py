"""An agent's report to the leader: its instances, and what became of the steps that it was ordered."""

from collections.abc import Container

from vetchford.fleet.agent_settings import AgentSettings, InstanceDefinition
from vetchford.fleet.fleet_view import AgentReport, InstanceReport
from vetchford.fleet.instance import Instance
from vetchford.fleet.local_steps import step_results
from vetchford.fleet.rollout_controller import RolloutController


class FullInstanceReport(InstanceReport):
    """One instance, with what is shown to tools alone; the leader's decisions read `InstanceReport`."""

    why: str  # of the last change of its state
    labels: list[str]
    killed: int  # how often it outlived its stop timeout


def make_report(local: RolloutController, settings: AgentSettings, rollouts: Container[str]) -> AgentReport:
    """The report on all instances of this agent, and on its local rollouts made for `rollouts`."""
    return {
        "instances": {
            instance.name: report_instance(local, instance, settings.instances[instance.name])
            for instance in local.instances.values()
        },
        "locals": step_results(local, rollouts),
        "versions": sorted(settings.versions),
    }


def report_instance(
    local: RolloutController, instance: Instance, definition: InstanceDefinition
) -> FullInstanceReport:
    """What is reported of one instance."""
    rollout = local.rollout_of(instance.name)
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
