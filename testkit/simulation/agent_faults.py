"""Faults of a simulated fleet: links that break, agents that stop, disks and machines that are lost."""

import copy

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
HEALS_WITHIN = 500.0, 12_000.0  # ms
FREEZES = 800.0, 4000.0, 30_000.0  # ms
LOSS = 0.3  # of the messages on a lossy link


class FaultInjector:
    """Injects faults into one world, and says when each heals; draws from the world's random numbers."""

    def __init__(self, world):
        self.world, self.random = world, world.chance
        self.counts = {}  # by kind
        self.lost_disks = set()  # agents whose disk was lost or replaced at any time

    def inject(self, kind, name):
        """One fault of `FAULTS` at the agent `name`."""
        heals_at = self.world.now + self.random.uniform(*HEALS_WITHIN)
        self.counts[kind] = self.counts.get(kind, 0) + 1
        getattr(self, f"inject_{kind}")(self.world.machines[name], heals_at)

    # -- links

    def others(self, machine):
        return [name for name in self.world.names if name != machine.name]

    def cut_links(self, pairs, heals_at):
        self.world.cut |= pairs
        self.world.at(heals_at, self.world.cut.difference_update, pairs)

    def inject_cut(self, machine, heals_at):
        """A partition: the agent and some others on one side."""
        others, names = self.others(machine), self.world.names
        side = {machine.name, *self.random.sample(others, self.random.randint(0, len(others) - 1))}
        self.cut_links({(a, b) for a in names for b in names if (a in side) != (b in side)}, heals_at)

    def inject_one_way(self, machine, heals_at):
        """The agent is not heard, or hears nothing."""
        others, name = self.others(machine), machine.name
        if self.random.random() < 0.5:
            self.cut_links({(name, other) for other in others}, heals_at)
        else:
            self.cut_links({(other, name) for other in others}, heals_at)

    def half_of_the_links(self):
        names = self.world.names
        return [(a, b) for a in names for b in names if a != b and self.random.random() < 0.5]

    def inject_lossy(self, machine, heals_at):
        """Half of all links lose messages."""
        self.world.loss.update(dict.fromkeys(self.half_of_the_links(), LOSS))
        self.world.at(heals_at, self.world.loss.clear)

    def inject_slow(self, machine, heals_at):
        """Half of all links are slow."""
        pairs = self.half_of_the_links()
        self.world.slow.update(pairs)
        self.world.at(heals_at, self.world.slow.difference_update, pairs)

    # -- one agent

    def inject_freeze(self, machine, heals_at):
        """The agent's process is stopped, and goes on where it was."""
        until = self.world.now + self.random.choice(FREEZES)
        machine.frozen_until = max(machine.frozen_until, until)

    def inject_full(self, machine, heals_at):
        """The agent's disk takes nothing."""
        machine.full = True
        self.world.at(heals_at, setattr, machine, "full", False)

    def inject_crash(self, machine, heals_at):
        """One instance ends by itself."""
        serving = [name for name in machine.instances if machine.serves(name)]
        if serving:
            machine.up[serving[0]]["ends"] = self.world.now
            self.world.note_fallen(machine.name, serving[0])

    def inject_kill(self, machine, heals_at):
        """The agent's process ends; its instances go on."""
        if self.can_stop(machine):
            self.stop_agent(machine, "kill", heals_at)

    def inject_machine(self, machine, heals_at):
        """The machine fails with all that runs on it; its disk is kept."""
        if not self.can_stop(machine):
            return
        for name in machine.instances:
            if machine.serves(name):
                self.world.note_fallen(machine.name, name)
        machine.up.clear()
        self.stop_agent(machine, "machine", heals_at)

    def inject_old_disk(self, machine, heals_at):
        """The agent comes back with an old copy of its disk."""
        if not self.can_stop(machine):
            return
        kind = self.unless_most_lost(machine, "old_disk")
        if kind == "old_disk" and not machine.old_disk:
            machine.old_disk = copy.deepcopy(machine.disk)
        self.stop_agent(machine, kind, heals_at)

    def inject_no_disk(self, machine, heals_at):
        """The agent comes back with an empty disk."""
        if self.can_stop(machine):
            self.stop_agent(machine, self.unless_most_lost(machine, "no_disk"), heals_at)

    def can_stop(self, machine):
        return machine.coordinator is not None and self.world.now >= machine.frozen_until

    def unless_most_lost(self, machine, kind):
        """A plain kill once half of the disks were lost: that a majority is lost is a test of its own."""
        self.lost_disks.add(machine.name)
        return "kill" if 2 * len(self.lost_disks) >= len(self.world.names) else kind

    def stop_agent(self, machine, kind, heals_at):
        machine.end()
        self.world.at(heals_at, machine.restart, kind)
