"""Rollouts over a world of processes that crash, hang and never get ready, with the agent killed in between.

The world is the plain model: it knows each process and checks every act of the decisions against it.
"""

import copy
import random

import pytest

from vetchford.fleet.instance import STATES_WITH_PROCESS, InstanceSettings, InstanceState
from vetchford.fleet.instance_manager import MAX_CONSECUTIVE_RESTARTS
from vetchford.fleet.rollout import ENDED_STATES, RefusedError, Rollout, RolloutState, StepState
from vetchford.fleet.rollout_controller import RolloutController

STOP_TIMEOUT, READY_TIMEOUT = 400.0, 1500.0  # ms
ROUND = 50.0  # ms between two rounds of events
ROLL_AT = 3000.0  # ms: all serve by then
NEVER = 1e12  # ms


class KilledError(Exception):
    """The agent dies here."""


class World:
    """Processes by instance: when each is ready, when it will end, and what it does on SIGTERM."""

    def __init__(self, seed):
        self.random, self.now, self.store = random.Random(seed), 0.0, {}
        self.processes, self.terminated_at, self.kills = {}, {}, []
        self.serving, self.minimum_available, self.counted = set(), 0, set()
        self.acts_left, self.full, self.bad_versions = -1, False, ()

    def maybe_die(self):
        self.acts_left -= 1
        if self.acts_left == 0:
            raise KilledError

    # -- what the decisions act through

    def save_record(self, kind, name, record):
        self.maybe_die()
        if self.full:
            raise OSError("full")
        if record is None:
            self.store.pop((kind, name), None)
        else:
            self.store[kind, name] = copy.deepcopy(record)

    def spawn(self, name, version):
        self.maybe_die()
        assert name not in self.processes, "a second process of one instance"
        hangs = self.random.random() < 0.15
        ready_in = 1e9 if version in self.bad_versions else self.random.uniform(50, 400)
        self.processes[name] = {
            "version": version,
            "ready": self.now + ready_in,
            "ends": NEVER,
            "hangs": hangs,
        }
        self.maybe_die()

    def terminate(self, name):
        self.maybe_die()
        assert name in self.processes, "SIGTERM to no process"
        if name in self.serving and name in self.counted:
            left = (self.serving & self.counted) - {name}
            assert len(left) >= self.minimum_available, "under the minimum"
        self.serving.discard(name)
        process = self.processes[name]
        self.terminated_at.setdefault(name, self.now)
        if not process["hangs"]:
            process["ends"] = min(process["ends"], self.now + self.random.uniform(10, 300))
        self.maybe_die()

    def kill(self, name):
        assert name in self.processes, "SIGKILL to no process"
        assert self.now - self.terminated_at[name] >= STOP_TIMEOUT, "killed before its stop timeout"
        self.kills.append(name)
        self.processes[name]["ends"] = self.now
        self.maybe_die()

    def note(self, event, **fields):
        assert "event" not in fields

    # -- its processes

    def versions(self):
        return [process["version"] for process in self.processes.values()]

    def end_process(self, name):
        del self.processes[name]
        self.terminated_at.pop(name, None)
        self.serving.discard(name)

    def is_healthy(self, name):
        healthy = self.now >= self.processes[name]["ready"] and name not in self.terminated_at
        if healthy:
            self.serving.add(name)
        return healthy


def start_agent(world, names, restored):
    controller = RolloutController(world)
    for name in names:
        settings = InstanceSettings(name[0], STOP_TIMEOUT, READY_TIMEOUT)
        controller.declare(name, settings, "v1")
    if restored:
        for (kind, name), record in world.store.items():
            controller.restore(kind, name, copy.deepcopy(record))
    world.serving = set()
    for name in names:
        process = world.processes.get(name)
        controller.on_process_found(world.now, name, process["version"] if process else None)
    return controller


class Play:
    """One agent over eight instances, which starts them all and rolls them to another version."""

    def __init__(self, seed, roll, random_exits, bad_versions):
        self.world, self.random = World(seed), random.Random(seed + 1000)
        self.world.bad_versions = bad_versions
        self.names = [f"{group}{number}" for group in "ab" for number in range(4)]
        self.roll, self.random_exits = roll, random_exits
        self.submitted, self.deaths = False, 0
        self.controller = start_agent(self.world, self.names, False)
        self.submit_start()

    def submit_start(self):
        self.controller.submit(self.world.now, Rollout("up", "start", self.names, batch=8))

    def run(self, length, crashes):
        while self.world.now < length:
            self.world.now += ROUND
            if crashes and self.random.random() < 0.2:
                self.world.acts_left = self.random.randrange(1, 12)
            try:
                self.play_round()
            except KilledError:
                self.restart_agent()

    def play_round(self):
        world, controller = self.world, self.controller
        for name in list(world.processes):
            self.maybe_exit(name)
            if world.processes[name]["ends"] <= world.now:
                world.end_process(name)
                controller.on_process_exit(world.now, name, 0)
        for name in list(world.processes):
            controller.on_health_check(world.now, name, world.is_healthy(name))
        if world.now >= ROLL_AT and not self.submitted and self.all_started():
            self.submit_roll()
        elif self.submitted and "roll" not in controller.rollouts:
            self.submitted = False  # the agent died before it was on record: submitted again
        controller.on_tick(world.now)

    def all_started(self):
        return self.controller.rollouts["up"].state in ENDED_STATES

    def maybe_exit(self, name):
        may_exit = self.random_exits and not self.submitted and self.all_started()
        if may_exit and self.random.random() < 0.0005:
            self.world.processes[name]["ends"] = self.world.now

    def submit_roll(self):
        self.submitted = True
        self.world.minimum_available, self.world.counted = self.roll["minimum_available"], set(self.names)
        rollout = Rollout(
            "roll",
            "roll",
            self.names,
            "v2",
            start_spacing_ms=100.0,
            minimum_ready_ms=300.0,
            **self.roll,
        )
        self.controller.submit(self.world.now, rollout)

    def restart_agent(self):
        world = self.world
        self.deaths += 1
        world.acts_left = -1
        world.terminated_at = {
            name: at for name, at in world.terminated_at.items() if name in world.processes
        }
        try:
            self.controller = start_agent(world, self.names, True)
        except RefusedError:
            raise AssertionError("a restart that refuses") from None
        if "up" not in self.controller.rollouts:
            self.submit_start()


def play(seed, crashes, length=12_000.0, on_failure="go_on", random_exits=True, bad_versions=()):
    roll = {"batch": 2, "minimum_available": 4, "on_failure": on_failure}
    played = Play(seed, roll, random_exits, bad_versions)
    played.run(length, crashes)
    return played.world, played.controller, played.deaths


@pytest.mark.parametrize("seed", range(30))
def test_roll_updates_every_instance_within_minimum_available(seed):
    world, controller, _ = play(seed, crashes=False, length=25_000.0)
    assert controller.rollouts["roll"].state == RolloutState.FINISHED
    assert world.versions() == ["v2"] * 8
    assert set(world.kills) <= set(controller.rollouts["roll"].killed) | set(controller.rollouts["up"].killed)


@pytest.mark.parametrize("seed", range(60))
def test_restarted_agent_continues_rollout_without_duplicate_processes(seed):
    world, controller, deaths = play(seed, crashes=True, length=60_000.0, random_exits=False)
    assert deaths >= 2
    assert controller.rollouts["roll"].state in ENDED_STATES
    for name, instance in controller.instances.items():
        assert (instance.state in STATES_WITH_PROCESS) == (name in world.processes)
        if name in world.processes and instance.state == InstanceState.SERVING:
            assert world.processes[name]["version"] == "v2"


@pytest.mark.parametrize("seed", range(10))
def test_version_never_ready_is_rolled_back_within_minimum_available(seed):
    world, controller, _ = play(
        seed, False, 40_000.0, on_failure="back", random_exits=False, bad_versions=("v2",)
    )
    change = controller.rollouts["roll"]
    assert change.state == RolloutState.FAILED and change.reason == "gone back"
    assert world.versions() == ["v1"] * 8


def test_version_never_ready_pauses_rollout_after_first_batch_until_resume():
    world, controller, _ = play(
        3, False, 12_000.0, on_failure="pause", random_exits=False, bad_versions=("v2",)
    )
    change = controller.rollouts["roll"]
    assert change.state == RolloutState.PAUSED and list(change.steps.values()).count(StepState.PENDING) >= 6
    world.bad_versions = ()
    controller.resume(world.now, "roll")
    assert change.state == RolloutState.RUNNING and StepState.FAILED not in change.steps.values()


def all_serving(names="abc", group="g"):
    world = World(1)
    world.random = random.Random(5)
    controller = RolloutController(world)
    for name in names:
        controller.declare(name, InstanceSettings(group, STOP_TIMEOUT, READY_TIMEOUT), "v1")
        controller.on_process_found(0.0, name, None)
    controller.submit(0.0, Rollout("up", "start", list(names), batch=9, minimum_ready_ms=0.0))
    for name in names:
        controller.on_health_check(1.0, name, True)
    controller.on_tick(10.0)
    assert controller.rollouts["up"].state == RolloutState.FINISHED
    return world, controller


def test_repeated_request_is_one_rollout_and_conflicting_requests_are_refused():
    world, controller = all_serving()
    first = controller.submit(20.0, Rollout("r", "restart", ["a", "b"], minimum_ready_ms=10.0))
    assert controller.submit(21.0, Rollout("r", "restart", ["a", "b"], minimum_ready_ms=10.0)) is first
    with pytest.raises(RefusedError, match="id r is already used by another change"):
        controller.submit(22.0, Rollout("r", "restart", ["a"]))
    with pytest.raises(RefusedError, match="b is in change r, which is running"):
        controller.submit(22.0, Rollout("s", "stop", ["b", "c"]))
    for wrong, why in (
        (Rollout("x", "stop", ["z"]), "no such instance: z"),
        (Rollout("x", "stop", []), "the change names no instance"),
        (Rollout("x", "melt", ["c"]), "kind is 'melt', which must be one of start, stop"),
        (Rollout("x", "stop", ["c", "c"]), "the change names an instance twice: c, c"),
        (Rollout("x", "stop", ["c"], minimum_available=3), "under the floor of 3"),
    ):
        with pytest.raises(RefusedError, match=why):
            controller.submit(23.0, wrong)


def test_hung_drain_is_killed_at_stop_timeout_and_reported():
    world, controller = all_serving("a")
    world.processes["a"]["hangs"] = True
    world.now = 100.0
    controller.submit(100.0, Rollout("stop", "stop", ["a"]))
    controller.on_tick(100.0 + STOP_TIMEOUT - 1.0)
    assert not world.kills
    world.now = 100.0 + STOP_TIMEOUT
    controller.on_tick(100.0 + STOP_TIMEOUT)
    assert world.kills == ["a"] and controller.instances["a"].state == InstanceState.STOPPING
    controller.on_process_exit(510.0, "a", -9)
    rollout = controller.rollouts["stop"]
    assert rollout.state == RolloutState.FINISHED and rollout.killed == ["a"]
    assert controller.instances["a"].kill_count == 1


def test_crash_loop_backs_off_until_instance_fails():
    world, controller = all_serving("a")
    now, starts = 100.0, []
    for _ in range(400):
        if "a" in world.processes:
            del world.processes["a"]
            starts.append(now)
            controller.on_process_exit(now, "a", 1)
        now += 500.0
        controller.on_tick(now)
    gaps = [b - a for a, b in zip(starts, starts[1:], strict=False)]
    assert controller.instances["a"].state == InstanceState.FAILED
    assert len(starts) == MAX_CONSECUTIVE_RESTARTS + 1
    assert gaps == sorted(gaps) and gaps[-1] >= 8 * gaps[0]


def test_full_store_pauses_rollout():
    world, controller = all_serving()
    controller.submit(20.0, Rollout("r", "restart", ["a", "b", "c"], minimum_ready_ms=0.0))
    world.full = True
    world.processes.pop("a")
    controller.on_process_exit(300.0, "a", 0)
    rollout = controller.rollouts["r"]
    assert rollout.state == RolloutState.PAUSED and "the store failed" in rollout.reason
    assert set(world.processes) == {"b", "c"}
    world.full = False
    controller.resume(400.0, "r")
    assert set(world.processes) == {"a", "b", "c"}


def test_full_store_delays_no_kill_and_restart_follows_once_it_writes():
    world, controller = all_serving("ab")
    world.processes["a"]["hangs"], world.now = True, 100.0
    controller.submit(100.0, Rollout("stop", "stop", ["a"]))
    world.full = True
    del world.processes["b"]
    controller.on_process_exit(150.0, "b", 1)
    world.now = 1000.0
    controller.on_tick(1000.0)
    assert world.kills == ["a"] and "b" not in world.processes
    assert "the store failed" in controller.instances["b"].reason
    world.full = False
    controller.on_tick(2500.0)
    assert "b" in world.processes


def test_abort_restarts_instances_out_of_service_and_takes_no_more():
    world, controller = all_serving()
    controller.submit(20.0, Rollout("r", "restart", ["a", "b", "c"], minimum_ready_ms=0.0))
    controller.abort(30.0, "r")
    world.processes.pop("a")
    controller.on_process_exit(200.0, "a", 0)
    controller.on_tick(300.0)
    assert set(world.processes) == {"a", "b", "c"} and controller.rollouts["r"].state == RolloutState.ABORTED
    assert not [name for name in "bc" if controller.instances[name].state != InstanceState.SERVING]
