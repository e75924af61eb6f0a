"""Roll-outs over a world of processes that crash, hang and never come up, with the agent killed in between.

The world is the plain model: it knows each process and checks every act of the decisions against it.
"""

import copy
import random

import pytest

from vetchford.fleet.instance import STATES_WITH_PROCESS, InstanceSettings, InstanceState
from vetchford.fleet.instance_manager import MAX_CONSECUTIVE_RESTARTS
from vetchford.fleet.rollout import ENDED_STATES, RefusedError, Rollout, RolloutState, StepState
from vetchford.fleet.rollout_controller import RolloutController

STOP, READY = 400.0, 1500.0


class KilledError(Exception):
    """The agent dies here."""


class World:
    """Processes by instance: when each is ready, will end, and what it does on SIGTERM."""

    def __init__(self, seed):
        self.chance, self.now, self.store = random.Random(seed), 0.0, {}
        self.up, self.told, self.kills, self.serving, self.floor, self.scope = {}, {}, [], set(), 0, set()
        self.dies_in, self.full, self.orders, self.bad = -1, False, set(), ()

    def maybe_die(self):
        self.dies_in -= 1
        if self.dies_in == 0:
            raise KilledError

    def save_record(self, kind, name, body):
        self.maybe_die()
        if self.full:
            raise OSError("full")
        if body is None:
            self.store.pop((kind, name), None)
        else:
            self.store[kind, name] = copy.deepcopy(body)

    def spawn(self, name, version):
        self.maybe_die()
        assert name not in self.up, "a second process of one instance"
        bad = version in self.bad
        hang = self.chance.random() < 0.15
        self.up[name] = {
            "version": version,
            "ready": self.now + (1e9 if bad else self.chance.uniform(50, 400)),
            "ends": 1e12,
            "hangs": hang,
        }
        self.maybe_die()

    def terminate(self, name):
        self.maybe_die()
        assert name in self.up, "SIGTERM to nobody"
        if name in self.serving and name in self.scope:
            assert len((self.serving & self.scope) - {name}) >= self.floor, "under the floor"
        self.serving.discard(name)
        process = self.up[name]
        self.told.setdefault(name, self.now)
        if not process["hangs"]:
            process["ends"] = min(process["ends"], self.now + self.chance.uniform(10, 300))
        self.maybe_die()

    def kill(self, name):
        assert name in self.up and self.now - self.told[name] >= STOP, "killed before its stop time"
        self.kills.append(name)
        self.up[name]["ends"] = self.now
        self.maybe_die()

    def note(self, event, **fields):
        assert "event" not in fields


def fleet_of(world, names, restored):
    fleet = RolloutController(world)
    for name in names:
        fleet.declare(
            name, InstanceSettings(group=name[0], stop_timeout_ms=STOP, ready_timeout_ms=READY), "v1"
        )
    if restored:
        for (kind, name), body in world.store.items():
            fleet.restore(kind, name, copy.deepcopy(body))
    world.serving = set()
    for name in names:
        fleet.on_process_found(world.now, name, world.up[name]["version"] if name in world.up else None)
    return fleet


def play(seed, crashes, length=12_000.0, batch=2, floor=4, on_failure="go_on", random_exits=True, bad=()):
    world, names = World(seed), [f"{group}{n}" for group in "ab" for n in range(4)]
    world.bad = bad
    chance = random.Random(seed + 1000)
    fleet = fleet_of(world, names, False)
    fleet.submit(0.0, Rollout("up", "start", names, batch=8))
    asked, died = False, 0
    while world.now < length:
        world.now += 50.0
        if crashes and chance.random() < 0.2:
            world.dies_in = chance.randrange(1, 12)
        try:
            for name in list(world.up):
                process = world.up[name]
                if (
                    random_exits
                    and not asked
                    and fleet.rollouts["up"].state in ENDED_STATES
                    and chance.random() < 0.0005
                ):
                    process["ends"] = world.now
                if process["ends"] <= world.now:
                    del world.up[name]
                    world.told.pop(name, None)
                    world.serving.discard(name)
                    fleet.on_process_exit(world.now, name, 0)
            for name, process in list(world.up.items()):
                good = world.now >= process["ready"] and name not in world.told
                if good:
                    world.serving.add(name)
                fleet.on_health_check(world.now, name, good)
            if world.now >= 3000.0 and not asked and fleet.rollouts["up"].state in ENDED_STATES:
                asked, world.floor, world.scope = True, floor, set(names)
                change = Rollout("roll", "roll", names, "v2", batch, floor, 100.0, 300.0, on_failure)
                fleet.submit(world.now, change)
            elif asked and "roll" not in fleet.rollouts:  # died before it was on record: asked again
                asked = False
            fleet.on_tick(world.now)
        except KilledError:
            died, world.dies_in = died + 1, -1
            world.told = {name: at for name, at in world.told.items() if name in world.up}
            try:
                fleet = fleet_of(world, names, True)
            except RefusedError:
                raise AssertionError("a restart that refuses") from None
            if "up" not in fleet.rollouts:
                fleet.submit(world.now, Rollout("up", "start", names, batch=8))
    return world, fleet, died


@pytest.mark.parametrize("seed", range(30))
def test_a_roll_ends_with_every_instance_on_the_new_version_and_the_floor_held(seed):
    world, fleet, _ = play(seed, crashes=False, length=25_000.0)
    assert fleet.rollouts["roll"].state == RolloutState.FINISHED
    assert {process["version"] for process in world.up.values()} == {"v2"} and len(world.up) == 8
    assert set(world.kills) <= set(fleet.rollouts["roll"].killed) | set(fleet.rollouts["up"].killed)


@pytest.mark.parametrize("seed", range(60))
def test_an_agent_killed_anywhere_goes_on_and_never_starts_a_second_process(seed):
    world, fleet, died = play(seed, crashes=True, length=60_000.0, random_exits=False)
    assert died >= 2
    assert fleet.rollouts["roll"].state in ENDED_STATES
    for name, instance in fleet.instances.items():
        assert (instance.state in STATES_WITH_PROCESS) == (name in world.up)
        if name in world.up and instance.state == InstanceState.SERVING:
            assert world.up[name]["version"] == "v2"


@pytest.mark.parametrize("seed", range(10))
def test_a_version_that_never_gets_ready_is_rolled_back_and_the_floor_held(seed):
    world, fleet, _ = play(seed, False, 40_000.0, on_failure="back", random_exits=False, bad=("v2",))
    change = fleet.rollouts["roll"]
    assert change.state == RolloutState.FAILED and change.reason == "gone back"
    assert {process["version"] for process in world.up.values()} == {"v1"} and len(world.up) == 8
    assert sum(name in world.up and world.up[name]["version"] == "v2" for name in world.up) == 0


def test_a_version_that_never_gets_ready_pauses_the_change_after_its_first_batch_and_resumes():
    world, fleet, _ = play(3, False, 12_000.0, on_failure="pause", random_exits=False, bad=("v2",))
    change = fleet.rollouts["roll"]
    assert change.state == RolloutState.PAUSED and list(change.steps.values()).count(StepState.PENDING) >= 6
    world.bad = ()
    fleet.resume(world.now, "roll")
    assert change.state == RolloutState.RUNNING and StepState.FAILED not in change.steps.values()


def settled(names="abc", group="g"):
    world = World(1)
    world.chance = random.Random(5)
    fleet = RolloutController(world)
    for name in names:
        fleet.declare(name, InstanceSettings(group=group, stop_timeout_ms=STOP, ready_timeout_ms=READY), "v1")
        fleet.on_process_found(0.0, name, None)
    fleet.submit(0.0, Rollout("up", "start", list(names), batch=9, minimum_ready_ms=0.0))
    for name in names:
        fleet.on_health_check(1.0, name, True)
    fleet.on_tick(10.0)
    assert fleet.rollouts["up"].state == RolloutState.FINISHED
    return world, fleet


def test_the_same_command_twice_is_one_change_and_two_on_the_same_instances_are_refused():
    world, fleet = settled()
    first = fleet.submit(20.0, Rollout("r", "restart", ["a", "b"], minimum_ready_ms=10.0))
    assert fleet.submit(21.0, Rollout("r", "restart", ["a", "b"], minimum_ready_ms=10.0)) is first
    with pytest.raises(RefusedError, match="id r is another"):
        fleet.submit(22.0, Rollout("r", "restart", ["a"]))
    with pytest.raises(RefusedError, match="b is in change r, which is running"):
        fleet.submit(22.0, Rollout("s", "stop", ["b", "c"]))
    for wrong, why in (
        (Rollout("x", "stop", ["z"]), "no such instance: z"),
        (Rollout("x", "stop", []), "names no"),
        (Rollout("x", "melt", ["c"]), "none that is known"),
        (Rollout("x", "stop", ["c", "c"]), "named twice"),
        (Rollout("x", "stop", ["c"], minimum_available=3), "under the floor of 3"),
    ):
        with pytest.raises(RefusedError, match=why):
            fleet.submit(23.0, wrong)


def test_one_that_hangs_in_its_drain_is_killed_at_its_stop_time_and_reported():
    world, fleet = settled("a")
    world.up["a"]["hangs"] = True
    world.now = 100.0
    fleet.submit(100.0, Rollout("stop", "stop", ["a"]))
    fleet.on_tick(100.0 + STOP - 1.0)
    assert not world.kills
    world.now = 100.0 + STOP
    fleet.on_tick(100.0 + STOP)
    assert world.kills == ["a"] and fleet.instances["a"].state == InstanceState.STOPPING
    fleet.on_process_exit(510.0, "a", -9)
    assert fleet.rollouts["stop"].state == RolloutState.FINISHED and fleet.rollouts["stop"].killed == ["a"]
    assert fleet.instances["a"].kill_count == 1


def test_a_crash_loop_backs_off_and_ends_and_a_stable_one_starts_afresh():
    world, fleet = settled("a")
    now, starts = 100.0, []
    for _ in range(400):
        if "a" in world.up:
            del world.up["a"]
            starts.append(now)
            fleet.on_process_exit(now, "a", 1)
        now += 500.0
        fleet.on_tick(now)
    gaps = [b - a for a, b in zip(starts, starts[1:], strict=False)]
    assert fleet.instances["a"].state == InstanceState.FAILED and len(starts) == MAX_CONSECUTIVE_RESTARTS + 1
    assert gaps == sorted(gaps) and gaps[-1] >= 8 * gaps[0]


def test_a_full_store_begins_nothing_more_and_pauses_the_change():
    world, fleet = settled()
    fleet.submit(20.0, Rollout("r", "restart", ["a", "b", "c"], minimum_ready_ms=0.0))
    world.full = True
    world.up.pop("a")
    fleet.on_process_exit(300.0, "a", 0)
    assert (
        fleet.rollouts["r"].state == RolloutState.PAUSED and "the store failed" in fleet.rollouts["r"].reason
    )
    assert set(world.up) == {"b", "c"}
    world.full = False
    fleet.resume(400.0, "r")
    assert set(world.up) == {"a", "b", "c"}


def test_a_full_store_keeps_no_hung_instance_from_its_kill_and_no_crashed_one_down_for_good():
    world, fleet = settled("ab")
    world.up["a"]["hangs"], world.now = True, 100.0
    fleet.submit(100.0, Rollout("stop", "stop", ["a"]))
    world.full = True
    del world.up["b"]
    fleet.on_process_exit(150.0, "b", 1)
    world.now = 1000.0
    fleet.on_tick(1000.0)
    assert world.kills == ["a"] and "b" not in world.up and "the store failed" in fleet.instances["b"].reason
    world.full = False
    fleet.on_tick(2500.0)
    assert "b" in world.up


def test_an_aborted_change_brings_back_what_is_out_and_takes_no_more():
    world, fleet = settled()
    fleet.submit(20.0, Rollout("r", "restart", ["a", "b", "c"], minimum_ready_ms=0.0))
    fleet.abort(30.0, "r")
    world.up.pop("a")
    fleet.on_process_exit(200.0, "a", 0)
    fleet.on_tick(300.0)
    assert set(world.up) == {"a", "b", "c"} and fleet.rollouts["r"].state == RolloutState.ABORTED
    assert not [name for name in "bc" if fleet.instances[name].state != InstanceState.SERVING]
