"""Faults of a simulated fleet: broken links, stopped agents, and lost disks and machines."""

import copy
import random
from typing import TYPE_CHECKING

from testkit.simulation.agent_machine import Machine

if TYPE_CHECKING:
    from testkit.simulation.agents import World

Link = tuple[str, str]
"""Source and target agent."""

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
"""Fraction of the messages on a lossy link that are lost."""
AFFECTED_LINKS_FRACTION = 0.5
"""Fraction of all links that a `lossy` or `slow` fault affects."""
MUTE_FRACTION = 0.5
"""Probability that a `one_way` fault cuts the links from the agent; otherwise it cuts the links to it."""


class FaultInjector:
    """Injects faults into one world and schedules their end; draws from the world's random numbers."""

    def __init__(self, world: "World") -> None:
        """Create an injector without faults."""
        self.world = world
        self.rng: random.Random = world.rng
        self.counts: dict[str, int] = {}
        """Number of faults injected, by kind."""
        self.lost_disks: set[str] = set()
        """Agents whose disk was ever lost or replaced."""

    def inject(self, kind: str, name: str) -> None:
        """Inject a fault of a kind in `FAULTS` at the agent `name`."""
        heals_at_ms = self.world.now + self.rng.uniform(MIN_DURATION_MS, MAX_DURATION_MS)
        self.counts[kind] = self.counts.get(kind, 0) + 1
        getattr(self, f"inject_{kind}")(self.world.machines[name], heals_at_ms)

    # -- links

    def _others(self, machine: Machine) -> list[str]:
        return [name for name in self.world.names if name != machine.name]

    def _cut_links(self, links: set[Link], heals_at_ms: float) -> None:
        self.world.cut |= links
        self.world.at(heals_at_ms, self.world.cut.difference_update, links)

    def inject_cut(self, machine: Machine, heals_at_ms: float) -> None:
        """Partition the network, with the agent and a random set of others on one side."""
        others = self._others(machine)
        names = self.world.names
        side = {machine.name, *self.rng.sample(others, self.rng.randint(0, len(others) - 1))}
        self._cut_links({(a, b) for a in names for b in names if (a in side) != (b in side)}, heals_at_ms)

    def inject_one_way(self, machine: Machine, heals_at_ms: float) -> None:
        """Cut all links from the agent, or all links to it."""
        others = self._others(machine)
        name = machine.name
        if self.rng.random() < MUTE_FRACTION:
            self._cut_links({(name, other) for other in others}, heals_at_ms)
        else:
            self._cut_links({(other, name) for other in others}, heals_at_ms)

    def _half_of_the_links(self) -> list[Link]:
        names = self.world.names
        links = [(source, target) for source in names for target in names if source != target]
        return [link for link in links if self.rng.random() < AFFECTED_LINKS_FRACTION]

    def inject_lossy(self, machine: Machine, heals_at_ms: float) -> None:
        """Make half of all links lose messages."""
        self.world.loss.update(dict.fromkeys(self._half_of_the_links(), LOSS_FRACTION))
        self.world.at(heals_at_ms, self.world.loss.clear)

    def inject_slow(self, machine: Machine, heals_at_ms: float) -> None:
        """Make half of all links slow."""
        links = self._half_of_the_links()
        self.world.slow.update(links)
        self.world.at(heals_at_ms, self.world.slow.difference_update, links)

    # -- one agent

    def inject_freeze(self, machine: Machine, heals_at_ms: float) -> None:
        """Suspend the agent's process, which later continues where it stopped."""
        until_ms = self.world.now + self.rng.choice(FREEZE_DURATIONS_MS)
        machine.frozen_until_ms = max(machine.frozen_until_ms, until_ms)

    def inject_full(self, machine: Machine, heals_at_ms: float) -> None:
        """Make all writes to the agent's disk fail."""
        machine.disk_full = True
        self.world.at(heals_at_ms, setattr, machine, "disk_full", False)

    def inject_crash(self, machine: Machine, heals_at_ms: float) -> None:
        """End the process of one serving instance."""
        serving = [name for name in machine.instances if machine.serves(name)]
        if serving:
            machine.processes[serving[0]].ends_at_ms = self.world.now
            self.world.instance_failed(machine.name, serving[0])

    def inject_kill(self, machine: Machine, heals_at_ms: float) -> None:
        """Kill the agent's process; its instances keep running."""
        if machine.can_act():
            self._stop_agent(machine, "kill", heals_at_ms)

    def inject_machine(self, machine: Machine, heals_at_ms: float) -> None:
        """Stop the machine with all its processes; its disk is kept."""
        if not machine.can_act():
            return
        for name in machine.instances:
            if machine.serves(name):
                self.world.instance_failed(machine.name, name)
        machine.processes.clear()
        self._stop_agent(machine, "machine", heals_at_ms)

    def inject_old_disk(self, machine: Machine, heals_at_ms: float) -> None:
        """Restart the agent with an old copy of its disk."""
        if not machine.can_act():
            return
        kind = self._kill_if_most_disks_lost(machine, "old_disk")
        if kind == "old_disk" and not machine.old_disk:
            machine.old_disk = copy.deepcopy(machine.disk)
        self._stop_agent(machine, kind, heals_at_ms)

    def inject_no_disk(self, machine: Machine, heals_at_ms: float) -> None:
        """Restart the agent with an empty disk."""
        if machine.can_act():
            self._stop_agent(machine, self._kill_if_most_disks_lost(machine, "no_disk"), heals_at_ms)

    def _kill_if_most_disks_lost(self, machine: Machine, kind: str) -> str:
        """Return `kind`, or `kill` once half of the disks were lost.

        The loss of most disks is covered by a separate test.
        """
        self.lost_disks.add(machine.name)
        return "kill" if 2 * len(self.lost_disks) >= len(self.world.names) else kind

    def _stop_agent(self, machine: Machine, kind: str, heals_at_ms: float) -> None:
        machine.stop()
        self.world.at(heals_at_ms, machine.restart, kind)
