"""Several agents in virtual time: real decisions over processes, disks and links that break by a seeded
script.

The world is the plain model: it knows which process runs and whether it serves, checks each act against the
floor, and keeps one history that `violations` reads. The same seed gives the same history.
"""

import copy
import heapq
import random

from testkit.simulation.agent_faults import FAULTS, FaultInjector
from testkit.simulation.agent_history import find_violations
from vetchford.fleet.consensus import Role
from vetchford.fleet.coordinator import FleetCoordinator
from vetchford.fleet.fleet_record import ENDED_STATES, founding_record
from vetchford.fleet.instance import InstanceSettings
from vetchford.fleet.local_steps import begin_step, step_results
from vetchford.fleet.rollout import RefusedError
from vetchford.fleet.rollout_controller import RolloutController

STOP, READY, TURN = 400.0, 2000.0, 100.0  # ms
SEEN_BY = 3000.0  # ms after which a fault must be known: what fell later than that is nobody's floor


class KilledError(Exception):
    """The agent dies here, between two of its acts."""


class Machine:
    """One agent's machine: its disk, its processes, and the agent while it runs."""

    def __init__(self, world, name, instances):
        self.world, self.name, self.instances = world, name, instances
        self.disk, self.old_disk, self.up, self.full = {}, {}, {}, False
        self.frozen_until, self.coordinator, self.fleet, self.lives = 0.0, None, None, 0
        self.inbox = []  # what came while it was frozen
        self.acts, self.dies_at = 0, 0  # acts on its host so far, and the one at which it dies; 0: none

    # -- its start and end

    def begin(self):
        self.lives += 1
        self.disk.setdefault("store", f"{self.name}.{self.lives}")
        self.fleet = RolloutController(self)
        world = self.world
        self.coordinator = FleetCoordinator(
            self,
            self.name,
            world.seed,
            self.disk["store"],
            founding_record(world.names),
            world.now,
            self.lives,
        )
        for name in self.instances:
            self.fleet.declare(name, InstanceSettings("pay", STOP, READY), "v1")
        for (kind, name), body in sorted((key, body) for key, body in self.disk.items() if key != "store"):
            if kind in ("instance", "change"):
                self.fleet.restore(kind, name, copy.deepcopy(body))
            else:
                self.coordinator.restore(kind, name, copy.deepcopy(body))
        for name in self.instances:
            self.fleet.on_process_found(
                world.now, name, self.up[name]["version"] if name in self.up else None
            )

    def end(self):
        self.coordinator = self.fleet = None
        self.inbox.clear()

    def outlived(self):
        """Others knew a later incarnation: its disk has lost votes, so it takes a new identity."""
        self.coordinator.record.replace_store(self.world.now, f"{self.name}.{self.lives}")
        self.disk["store"] = self.coordinator.record.store

    def restart(self, kind):
        """The agent comes back after a fault, unless it is back already."""
        if self.coordinator is not None:
            return
        if kind == "old_disk":
            kept = {key: body for key, body in self.disk.items() if not is_of_the_fleet(key)}
            self.disk = {key: body for key, body in self.old_disk.items() if is_of_the_fleet(key)} | kept
        elif kind == "no_disk":  # of the fleet's part: that of the instances is `test_rollout_model`'s
            self.disk = {key: body for key, body in self.disk.items() if key[0] in ("instance", "change")}
        self.begin()
        if kind in ("old_disk", "no_disk"):  # whoever knew its earlier incarnations tells it
            self.outlived()

    # -- hosts of the decisions

    def maybe_die(self):
        self.acts += 1
        if self.acts == self.dies_at:
            raise KilledError(self)

    def save_record(self, kind, name, body):
        self.maybe_die()
        if self.full:
            raise OSError("full")
        if body is None:
            self.disk.pop((kind, name), None)
        else:
            self.disk[kind, name] = copy.deepcopy(body)

    keep = save_record

    def post(self, to, kind, body):
        self.maybe_die()
        self.world.send(self.name, to, kind, body)
        return True

    def spawn(self, name, version):
        assert name not in self.up, "a second process of one instance"
        chance = self.world.chance
        ready = 1e15 if version == "bad" else self.world.now + chance.uniform(50, 400)
        hangs = chance.random() < 0.05
        self.maybe_die()
        self.up[name] = {"version": version, "ready": ready, "ends": 1e15, "hangs": hangs}

    def terminate(self, name):
        self.maybe_die()
        self.world.checks_floor(self, name)
        process = self.up[name]
        process["leaving"] = True
        if not process["hangs"]:
            process["ends"] = self.world.now + self.world.chance.uniform(10, 300)

    def kill(self, name):
        self.up[name]["ends"] = self.world.now

    def note(self, event, **fields):
        self.world.history.append({"at": self.world.now, "agent": self.name, "event": event, **fields})

    def report(self, known):
        fleet = self.fleet
        return {
            "instances": {
                one.name: {
                    "state": one.state,
                    "unseen": one.awaiting_first_check,
                    "group": one.settings.group,
                    "version": one.running_version or one.version,
                    "declared": "v1",
                    "wanted": one.wanted,
                    "change": owner.id if (owner := fleet.rollout_of(one.name)) else "",
                }
                for one in fleet.instances.values()
            },
            "locals": step_results(fleet, known),
            "versions": ["v2", "bad"],
        }

    def begin_step(self, step):
        return begin_step(self.fleet, self.world.now, step)

    # -- time

    def serves(self, name):
        process = self.up.get(name)
        return process is not None and process["ready"] <= self.world.now and "leaving" not in process

    def turn(self):
        now = self.world.now
        for name, process in list(self.up.items()):
            if process["ends"] <= now:
                del self.up[name]
                if self.fleet is not None and now >= self.frozen_until:
                    self.fleet.on_process_exit(now, name, 0)
                else:
                    self.inbox.append(("exited", name))
        if self.fleet is None or now < self.frozen_until:
            return
        waiting, self.inbox = self.inbox, []
        for kind, *given in waiting:
            if kind == "exited":
                if given[0] not in self.up:
                    self.fleet.on_process_exit(now, given[0], None)
            else:
                self.coordinator.receive(now, *given)
        for name in self.instances:
            if name in self.up:
                self.fleet.on_health_check(now, name, self.serves(name))
        self.fleet.on_tick(now)
        self.coordinator.tick(now)


def is_of_the_fleet(key):
    """Whether a key of a disk is of the fleet's record or controls, not of this machine's instances."""
    return key != "store" and key[0] in ("book", "orders")


class World:
    """Virtual time, the network between the agents, and the checks of what must hold."""

    def __init__(self, seed, agents=5, instances=4, floor=0):
        self.seed, self.chance, self.now = seed, random.Random(seed), 0.0
        self.names = [f"a{n}" for n in range(agents)]
        self.machines = {
            name: Machine(self, name, [f"n{n}" for n in range(instances)]) for name in self.names
        }
        self.queue, self.count, self.history, self.floor = [], 0, [], floor
        self.cut, self.loss, self.slow, self.sent = set(), {}, set(), 0
        self.fallen, self.broken = {}, []  # instances that ended by themselves; breaches of the minimum
        self.injector = FaultInjector(self)
        self.faults = self.injector.counts
        self.at(0.0, self.turn)
        for machine in self.machines.values():
            machine.begin()

    # -- time and links

    def at(self, when, act, *given):
        self.count += 1
        heapq.heappush(self.queue, (when, self.count, act, given))

    def run(self, until, stop=lambda: False):
        while self.queue and self.queue[0][0] <= until and not stop():
            self.now, _, act, given = heapq.heappop(self.queue)
            self.run_guarded(act, *given)
        return stop()

    def run_guarded(self, act, *given):
        try:
            act(*given)
        except KilledError as killed:
            machine = killed.args[0]
            machine.end()
            self.at(self.now + 1000.0, machine.restart, "kill")

    def turn(self):
        for machine in self.machines.values():
            self.at(self.now, machine.turn)
        self.at(self.now + TURN, self.turn)

    def send(self, sender, to, kind, body):
        self.sent += 1
        if (sender, to) in self.cut or self.chance.random() < self.loss.get((sender, to), 0.0):
            return
        for _ in range(2 if self.chance.random() < 0.02 else 1):
            late = self.chance.uniform(200.0, 2500.0) if (sender, to) in self.slow else 0.0
            self.at(
                self.now + self.chance.uniform(1.0, 15.0) + late,
                self.arrive,
                sender,
                to,
                kind,
                copy.deepcopy(body),
            )

    def arrive(self, sender, to, kind, body):
        machine = self.machines.get(to)
        if machine is None or machine.coordinator is None:
            return
        if self.now < machine.frozen_until:
            machine.inbox.append(("heard", sender, kind, body))
        else:
            machine.coordinator.receive(self.now, sender, kind, body)

    # -- what must hold

    def serving(self):
        return sum(machine.serves(name) for machine in self.machines.values() for name in machine.instances)

    def checks_floor(self, machine, name):
        """Before a change takes one out: those that serve, and those that fell too late to be known."""
        owner = machine.fleet.rollout_of(name)
        if owner is None or not machine.serves(name):
            return
        late = sum(self.now - at <= SEEN_BY for at in self.fallen.values())
        left = self.serving() - 1 + late
        self.history.append(
            {"at": self.now, "agent": machine.name, "event": "taken_out", "name": name, "left": left}
        )
        if left < self.floor:
            self.broken.append(f"{self.now:.0f} {name}@{machine.name}: {left} left, floor {self.floor}")

    def violations(self):
        """What the history and the checks of the minimum show, one text each."""
        return self.broken + find_violations(self.history)

    def note_fallen(self, agent, instance):
        """An instance ends by itself, now."""
        self.fallen[agent, instance, self.now] = self.now

    # -- faults

    def fault(self, kind, name):
        """One fault at an agent; it heals by itself."""
        self.injector.inject(kind, name)

    def heal(self):
        self.cut.clear()
        self.loss.clear()
        self.slow.clear()
        for machine in self.machines.values():
            machine.frozen_until, machine.full = 0.0, False
            if machine.coordinator is None:
                machine.begin()

    # -- what tools ask

    def request(self, agent, ask, **fields):
        """The answer goes to the returned list."""
        out, machine = [], self.machines[agent]
        if machine.coordinator is None or self.now < machine.frozen_until:
            return out
        try:
            self.run_guarded(machine.coordinator.request, self.now, {"ask": ask, **fields}, out.append)
        except RefusedError as problem:
            out.append({"refused": str(problem)})
        return out

    def change(self, name, id, kind, targets=None, **terms):
        targets = targets or [f"{one}@{m.name}" for m in self.machines.values() for one in m.instances]
        change = {
            "id": id,
            "kind": kind,
            "targets": targets,
            "version": "",
            "batch": 1,
            "floor": 0,
            "spacing": 0.0,
            "soak": 200.0,
            "on_failure": "pause",
            **terms,
        }
        return self.request(name, "span", change=change)

    def span(self, id):
        """The newest copy of a fleet rollout, as the record encodes it."""
        found = [
            (m.coordinator.record.version, m.coordinator.record.body["spans"][id])
            for m in self.machines.values()
            if m.coordinator is not None and id in m.coordinator.record.body["spans"]
        ]
        return max(found, key=lambda one: one[0])[1] if found else None

    def ended(self, id):
        span = self.span(id)
        return span is not None and span["state"] in ENDED_STATES

    def up(self, seconds=60.0):
        """All instances of a new world serving."""
        self.until_driven()
        self.change(self.names[0], "up", "start", batch=100)
        assert self.run(self.now + seconds * 1000.0, lambda: self.ended("up")), self.span("up")
        self.run(self.now + 2000.0)  # in force, and seen by the next reports
        assert self.serving() == sum(len(machine.instances) for machine in self.machines.values())

    def until_driven(self):
        assert self.run(
            self.now + 30_000.0,
            lambda: any(
                m.coordinator is not None and m.coordinator.record.role == Role.LEADER
                for m in self.machines.values()
            ),
        )


def play(seed, count=8, floor=14, faults=FAULTS, agents=5):
    """A roll among faults, pauses and repeats of the same command; then everything heals."""
    world = World(seed, agents=agents, floor=floor)
    world.up()
    chance = random.Random(seed + 77)
    ways = {"batch": chance.choice((1, 3, 6)), "on_failure": chance.choice(("pause", "go_on", "back"))}
    world.change(chance.choice(world.names), "r1", "roll", version="v2", floor=floor, **ways)
    for _ in range(count):
        world.run(world.now + chance.uniform(100, 4000))
        world.fault(chance.choice(faults), chance.choice(world.names))
        draw = chance.random()
        if draw < 0.15:
            world.request(chance.choice(world.names), chance.choice(("pause", "resume")), id="r1")
        elif draw < 0.3:
            world.change(chance.choice(world.names), "r1", "roll", version="v2", floor=floor, **ways)
    world.run(world.now + 3000.0)
    world.heal()
    for turn in range(30):
        if world.run(world.now + 10_000.0, lambda: world.ended("r1")):
            break
        if world.span("r1") is None:
            world.change(chance.choice(world.names), "r1", "roll", version="v2", floor=floor, **ways)
        elif world.span("r1")["state"] == "paused" or turn > 3:
            for name in world.names:
                world.request(name, "resume", id="r1")
    world.run(world.now + 3000.0)
    return world
