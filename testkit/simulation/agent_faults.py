"""Faults of a simulated fleet: links that break, agents that stop, disks and machines that are lost."""

import copy
import random
from typing import TYPE_CHECKING

from testkit.simulation.agent_machine import Machine

if TYPE_CHECKING:
    from testkit.simulation.agents import World

Link = tuple[str, str]
"""From one agent to another."""

FAULTS = (
    "cut",
    "one_way",
    "lossy",
    "freeze",
    "kill",
    "old_disk",
    "no_disk",
    "crash",
    "full",
    "slow",
    "machine",
)
MIN_DURATION_MS = 500.0
MAX_DURATION_MS = 12_000.0
FREEZE_DURATIONS_MS = (800.0, 4000.0, 30_000.0)
LOSS_FRACTION = 0.3
"""Of the messages on a lossy link."""
AFFECTED_LINKS_FRACTION = 0.5
MUTE_FRACTION = 0.5
"""Of the agents with links that are cut one way: those that are not heard; the others hear nothing."""


class FaultInjector:
    """Injects faults into one world, and says when each heals; draws from the world's random numbers."""

    def __init__(self, world: "World") -> None:
        """Begin with no fault."""
        self.world = world
        self.random: random.Random = world.chance
        self.counts: dict[str, int] = {}
        """How often each kind was injected."""
        self.lost_disks: set[str] = set()
        """Agents whose disk was lost or replaced at any time."""

    def inject(self, kind: str, name: str) -> None:
        """Inject one fault of `FAULTS` at the agent `name`."""
        heals_at = self.world.now + self.random.uniform(MIN_DURATION_MS, MAX_DURATION_MS)
        self.counts[kind] = self.counts.get(kind, 0) + 1
        getattr(self, f"inject_{kind}")(self.world.machines[name], heals_at)

    # -- links

    def _others(self, machine: Machine) -> list[str]:
        return [name for name in self.world.names if name != machine.name]

    def _cut_links(self, links: set[Link], heals_at: float) -> None:
        self.world.cut |= links
        self.world.at(heals_at, self.world.cut.difference_update, links)

    def inject_cut(self, machine: Machine, heals_at: float) -> None:
        """A partition: the agent and some others on one side."""
        others = self._others(machine)
        names = self.world.names
        side = {machine.name, *self.random.sample(others, self.random.randint(0, len(others) - 1))}
        self._cut_links({(a, b) for a in names for b in names if (a in side) != (b in side)}, heals_at)

    def inject_one_way(self, machine: Machine, heals_at: float) -> None:
        """The agent is not heard, or hears nothing."""
        others = self._others(machine)
        name = machine.name
        if self.random.random() < MUTE_FRACTION:
            self._cut_links({(name, other) for other in others}, heals_at)
        else:
            self._cut_links({(other, name) for other in others}, heals_at)

    def _half_of_the_links(self) -> list[Link]:
        names = self.world.names
        links = [(source, target) for source in names for target in names if source != target]
        return [link for link in links if self.random.random() < AFFECTED_LINKS_FRACTION]

    def inject_lossy(self, machine: Machine, heals_at: float) -> None:
        """Half of all links lose messages."""
        self.world.loss.update(dict.fromkeys(self._half_of_the_links(), LOSS_FRACTION))
        self.world.at(heals_at, self.world.loss.clear)

    def inject_slow(self, machine: Machine, heals_at: float) -> None:
        """Half of all links are slow."""
        pairs = self._half_of_the_links()
        self.world.slow.update(pairs)
        self.world.at(heals_at, self.world.slow.difference_update, pairs)

    # -- one agent

    def inject_freeze(self, machine: Machine, heals_at: float) -> None:
        """The agent's process is stopped, and goes on where it was."""
        until = self.world.now + self.random.choice(FREEZE_DURATIONS_MS)
        machine.frozen_until_ms = max(machine.frozen_until_ms, until)

    def inject_full(self, machine: Machine, heals_at: float) -> None:
        """The agent's disk takes nothing."""
        machine.disk_full = True
        self.world.at(heals_at, setattr, machine, "disk_full", False)

    def inject_crash(self, machine: Machine, heals_at: float) -> None:
        """One instance ends by itself."""
        serving = [name for name in machine.instances if machine.serves(name)]
        if serving:
            machine.processes[serving[0]].ends_at_ms = self.world.now
            self.world.instance_failed(machine.name, serving[0])

    def inject_kill(self, machine: Machine, heals_at: float) -> None:
        """The agent's process ends; its instances go on."""
        if machine.can_act():
            self._stop_agent(machine, "kill", heals_at)

    def inject_machine(self, machine: Machine, heals_at: float) -> None:
        """The machine fails with all that runs on it; its disk is kept."""
        if not machine.can_act():
            return
        for name in machine.instances:
            if machine.serves(name):
                self.world.instance_failed(machine.name, name)
        machine.processes.clear()
        self._stop_agent(machine, "machine", heals_at)

    def inject_old_disk(self, machine: Machine, heals_at: float) -> None:
        """The agent comes back with an old copy of its disk."""
        if not machine.can_act():
            return
        kind = self._unless_most_lost(machine, "old_disk")
        if kind == "old_disk" and not machine.old_disk:
            machine.old_disk = copy.deepcopy(machine.disk)
        self._stop_agent(machine, kind, heals_at)

    def inject_no_disk(self, machine: Machine, heals_at: float) -> None:
        """The agent comes back with an empty disk."""
        if machine.can_act():
            self._stop_agent(machine, self._unless_most_lost(machine, "no_disk"), heals_at)

    def _unless_most_lost(self, machine: Machine, kind: str) -> str:
        """A plain kill once half of the disks were lost: that a majority is lost is a test of its own."""
        self.lost_disks.add(machine.name)
        return "kill" if 2 * len(self.lost_disks) >= len(self.world.names) else kind

    def _stop_agent(self, machine: Machine, kind: str, heals_at: float) -> None:
        machine.stop()
        self.world.at(heals_at, machine.restart, kind)
