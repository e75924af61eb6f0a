"""Rollouts over simulated processes that crash, hang or never become ready, with an agent that is killed.

The simulated host is the model: it has the true state of each process and checks every action against it.
"""

import copy
import random

import pytest

from vetchford.fleet.instance import STATES_WITH_PROCESS, InstanceSettings, InstanceState
from vetchford.fleet.instance_manager import MAX_CONSECUTIVE_RESTARTS
from vetchford.fleet.rollout import ENDED_STATES, RefusedError, Rollout, RolloutState, StepState
from vetchford.fleet.rollout_controller import RolloutController

STOP_TIMEOUT_MS, READY_TIMEOUT_MS = 400.0, 1500.0
ROUND_INTERVAL_MS = 50.0  # between two rounds of events
ROLL_AT_MS = 3000.0  # when all instances serve
NEVER_MS = 1e12


class AgentKilledError(Exception):
    """Raised from an action to simulate that the agent is killed there."""


class SimulatedHost:
    """Processes by instance, with times of readiness and exit and whether they hang, and the store."""

    def __init__(self, seed):
        self.random, self.now, self.store = random.Random(seed), 0.0, {}
        self.processes, self.terminated_at, self.kills = {}, {}, []
        self.serving, self.minimum_available, self.counted = set(), 0, set()
        self.actions_until_kill, self.is_store_full, self.bad_versions = -1, False, ()

    def kill_agent_if_due(self):
        self.actions_until_kill -= 1
        if self.actions_until_kill == 0:
            raise AgentKilledError

    # -- rollout_actions.RolloutActions

    def save_record(self, kind, name, record):
        self.kill_agent_if_due()
        if self.is_store_full:
            raise OSError("full")
        if record is None:
            self.store.pop((kind, name), None)
        else:
            self.store[kind, name] = copy.deepcopy(record)

    def spawn(self, name, version):
        self.kill_agent_if_due()
        assert name not in self.processes, "a second process of one instance"
        hangs = self.random.random() < 0.15
        ready_in = 1e9 if version in self.bad_versions else self.random.uniform(50, 400)
        self.processes[name] = {
            "version": version,
            "ready": self.now + ready_in,
            "ends": NEVER_MS,
            "hangs": hangs,
        }
        self.kill_agent_if_due()

    def terminate(self, name):
        self.kill_agent_if_due()
        assert name in self.processes, "SIGTERM to no process"
        if name in self.serving and name in self.counted:
            remaining = (self.serving & self.counted) - {name}
            assert len(remaining) >= self.minimum_available, "under the minimum"
        self.serving.discard(name)
        process = self.processes[name]
        self.terminated_at.setdefault(name, self.now)
        if not process["hangs"]:
            process["ends"] = min(process["ends"], self.now + self.random.uniform(10, 300))
        self.kill_agent_if_due()

    def kill(self, name):
        assert name in self.processes, "SIGKILL to no process"
        assert self.now - self.terminated_at[name] >= STOP_TIMEOUT_MS, "killed before its stop timeout"
        self.kills.append(name)
        self.processes[name]["ends"] = self.now
        self.kill_agent_if_due()

    def log_event(self, event, **fields):
        assert "event" not in fields

    # -- state of the processes

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


def start_agent(host, names, restored):
    controller = RolloutController(host)
    for name in names:
        settings = InstanceSettings(name[0], STOP_TIMEOUT_MS, READY_TIMEOUT_MS)
        controller.declare(name, settings, "v1")
    if restored:
        for (kind, name), record in host.store.items():
            controller.restore(kind, name, copy.deepcopy(record))
    host.serving = set()
    for name in names:
        process = host.processes.get(name)
        controller.on_process_found(host.now, name, process["version"] if process else None)
    return controller


class RolloutSimulation:
    """One agent with eight instances, which starts them all and then rolls them to another version."""

    def __init__(self, seed, roll, random_exits, bad_versions):
        self.host, self.random = SimulatedHost(seed), random.Random(seed + 1000)
        self.host.bad_versions = bad_versions
        self.names = [f"{group}{number}" for group in "ab" for number in range(4)]
        self.roll, self.random_exits = roll, random_exits
        self.submitted, self.kill_count = False, 0
        self.controller = start_agent(self.host, self.names, False)
        self.submit_start()

    def submit_start(self):
        self.controller.submit(self.host.now, Rollout("up", "start", self.names, batch=8))

    def run(self, duration_ms, agent_crashes):
        while self.host.now < duration_ms:
            self.host.now += ROUND_INTERVAL_MS
            if agent_crashes and self.random.random() < 0.2:
                self.host.actions_until_kill = self.random.randrange(1, 12)
            try:
                self.play_round()
            except AgentKilledError:
                self.restart_agent()

    def play_round(self):
        host, controller = self.host, self.controller
        for name in list(host.processes):
            self.maybe_exit(name)
            if host.processes[name]["ends"] <= host.now:
                host.end_process(name)
                controller.on_process_exit(host.now, name, 0)
        for name in list(host.processes):
            controller.on_health_check(host.now, name, host.is_healthy(name))
        if host.now >= ROLL_AT_MS and not self.submitted and self.all_started():
            self.submit_roll()
        elif self.submitted and "roll" not in controller.rollouts:
            self.submitted = False  # the agent was killed before the roll was stored: submitted again
        controller.on_tick(host.now)
        self.check_that_each_start_has_an_owner()

    def check_that_each_start_has_an_owner(self):
        for instance in self.controller.instances.values():
            if instance.wanted and instance.state == InstanceState.ABSENT:
                has_owner = self.controller.owner_of_start(instance.name) is not None
                assert has_owner != bool(instance.restart_at_ms), f"owners of the start of {instance.name}"

    def all_started(self):
        return self.controller.rollouts["up"].state in ENDED_STATES

    def maybe_exit(self, name):
        may_exit = self.random_exits and not self.submitted and self.all_started()
        if may_exit and self.random.random() < 0.0005:
            self.host.processes[name]["ends"] = self.host.now

    def submit_roll(self):
        self.submitted = True
        self.host.minimum_available, self.host.counted = self.roll["minimum_available"], set(self.names)
        rollout = Rollout(
            "roll",
            "roll",
            self.names,
            "v2",
            start_spacing_ms=100.0,
            minimum_ready_ms=300.0,
            **self.roll,
        )
        self.controller.submit(self.host.now, rollout)

    def lose_machine(self):
        """End all processes and the agent, which is started again with its store."""
        self.host.processes.clear()
        self.restart_agent()

    def restart_agent(self):
        host = self.host
        self.kill_count += 1
        host.actions_until_kill = -1
        host.terminated_at = {
            name: time for name, time in host.terminated_at.items() if name in host.processes
        }
        try:
            self.controller = start_agent(host, self.names, True)
        except RefusedError:
            raise AssertionError("the restarted agent refused its stored records") from None
        if "up" not in self.controller.rollouts:
            self.submit_start()


def run_simulation(
    seed, agent_crashes, duration_ms=12_000.0, on_failure="go_on", random_exits=True, bad_versions=()
):
    roll = {"batch": 2, "minimum_available": 4, "on_failure": on_failure}
    simulation = RolloutSimulation(seed, roll, random_exits, bad_versions)
    simulation.run(duration_ms, agent_crashes)
    return simulation.host, simulation.controller, simulation.kill_count


@pytest.mark.parametrize("seed", range(30))
def test_roll_updates_every_instance_within_minimum_available(seed):
    host, controller, _ = run_simulation(seed, agent_crashes=False, duration_ms=25_000.0)
    assert controller.rollouts["roll"].state == RolloutState.FINISHED
    assert host.versions() == ["v2"] * 8
    assert set(host.kills) <= set(controller.rollouts["roll"].killed) | set(controller.rollouts["up"].killed)


@pytest.mark.parametrize("seed", range(60))
def test_restarted_agent_continues_rollout_without_duplicate_processes(seed):
    host, controller, kill_count = run_simulation(
        seed, agent_crashes=True, duration_ms=60_000.0, random_exits=False
    )
    assert kill_count >= 2
    assert controller.rollouts["roll"].state in ENDED_STATES
    for name, instance in controller.instances.items():
        assert (instance.state in STATES_WITH_PROCESS) == (name in host.processes)
        if name in host.processes and instance.state == InstanceState.SERVING:
            assert host.processes[name]["version"] == "v2"


@pytest.mark.parametrize("agent_crashes", [False, True])
@pytest.mark.parametrize("seed", range(30))
def test_instances_lost_with_their_machine_in_a_rollout_are_started_again(seed, agent_crashes):
    # Guards against instances that stay down because their steps were done, in a roll that ends as all done.
    roll = {"batch": 2, "minimum_available": 4, "on_failure": "go_on"}
    simulation = RolloutSimulation(seed, roll, random_exits=False, bad_versions=())
    losses = 0
    while simulation.controller.rollouts.get("roll") is None or losses < 3:
        simulation.run(simulation.host.now + 1.0, agent_crashes)
        if simulation.submitted and simulation.random.random() < 0.05:
            simulation.lose_machine()
            losses += 1
    simulation.run(simulation.host.now + 40_000.0, agent_crashes)
    simulation.run(simulation.host.now + 5_000.0, False)
    assert simulation.controller.rollouts["roll"].state == RolloutState.FINISHED
    assert simulation.host.versions() == ["v2"] * 8
    states = {instance.state for instance in simulation.controller.instances.values()}
    assert states == {InstanceState.SERVING}


@pytest.mark.parametrize("seed", range(10))
def test_version_never_ready_is_rolled_back_within_minimum_available(seed):
    host, controller, _ = run_simulation(
        seed, False, 40_000.0, on_failure="back", random_exits=False, bad_versions=("v2",)
    )
    rollout = controller.rollouts["roll"]
    assert rollout.state == RolloutState.FAILED and rollout.reason == "gone back"
    assert host.versions() == ["v1"] * 8


def test_version_never_ready_pauses_rollout_after_first_batch_until_resume():
    host, controller, _ = run_simulation(
        3, False, 12_000.0, on_failure="pause", random_exits=False, bad_versions=("v2",)
    )
    rollout = controller.rollouts["roll"]
    assert rollout.state == RolloutState.PAUSED and list(rollout.steps.values()).count(StepState.PENDING) >= 6
    host.bad_versions = ()
    controller.resume(host.now, "roll")
    assert rollout.state == RolloutState.RUNNING and StepState.FAILED not in rollout.steps.values()


def start_all_serving(names="abc", group="g"):
    host = SimulatedHost(1)
    host.random = random.Random(5)
    controller = RolloutController(host)
    for name in names:
        controller.declare(name, InstanceSettings(group, STOP_TIMEOUT_MS, READY_TIMEOUT_MS), "v1")
        controller.on_process_found(0.0, name, None)
    controller.submit(0.0, Rollout("up", "start", list(names), batch=9, minimum_ready_ms=0.0))
    for name in names:
        controller.on_health_check(1.0, name, True)
    controller.on_tick(10.0)
    assert controller.rollouts["up"].state == RolloutState.FINISHED
    return host, controller


def test_repeated_request_is_one_rollout_and_conflicting_requests_are_refused():
    host, controller = start_all_serving()
    first = controller.submit(20.0, Rollout("r", "restart", ["a", "b"], minimum_ready_ms=10.0))
    assert controller.submit(21.0, Rollout("r", "restart", ["a", "b"], minimum_ready_ms=10.0)) is first
    with pytest.raises(RefusedError, match="id r is already used by another change"):
        controller.submit(22.0, Rollout("r", "restart", ["a"]))
    with pytest.raises(RefusedError, match="b is in change r, which is running"):
        controller.submit(22.0, Rollout("s", "stop", ["b", "c"]))
    for refused_rollout, text in (
        (Rollout("x", "stop", ["z"]), "no such instance: z"),
        (Rollout("x", "stop", []), "the change names no instance"),
        (Rollout("x", "melt", ["c"]), "kind is 'melt', which must be one of start, stop"),
        (Rollout("x", "stop", ["c", "c"]), "the change names an instance twice: c, c"),
        (
            Rollout("x", "stop", ["c"], minimum_available=3),
            "1 of 2 instances would be left serving, under the floor of 3",
        ),
    ):
        with pytest.raises(RefusedError, match=text):
            controller.submit(23.0, refused_rollout)


def test_hung_drain_is_killed_at_stop_timeout_and_reported():
    host, controller = start_all_serving("a")
    host.processes["a"]["hangs"] = True
    host.now = 100.0
    controller.submit(100.0, Rollout("stop", "stop", ["a"]))
    controller.on_tick(100.0 + STOP_TIMEOUT_MS - 1.0)
    assert not host.kills
    host.now = 100.0 + STOP_TIMEOUT_MS
    controller.on_tick(100.0 + STOP_TIMEOUT_MS)
    assert host.kills == ["a"] and controller.instances["a"].state == InstanceState.STOPPING
    controller.on_process_exit(510.0, "a", -9)
    rollout = controller.rollouts["stop"]
    assert rollout.state == RolloutState.FINISHED and rollout.killed == ["a"]
    assert controller.instances["a"].kill_count == 1


def test_crash_loop_backs_off_until_instance_fails():
    host, controller = start_all_serving("a")
    now, exits = 100.0, []
    for _ in range(400):
        if "a" in host.processes:
            del host.processes["a"]
            exits.append(now)
            controller.on_process_exit(now, "a", 1)
        now += 500.0
        controller.on_tick(now)
    gaps = [later - earlier for earlier, later in zip(exits, exits[1:], strict=False)]
    assert controller.instances["a"].state == InstanceState.FAILED
    assert len(exits) == MAX_CONSECUTIVE_RESTARTS + 1
    assert gaps == sorted(gaps) and gaps[-1] >= 8 * gaps[0]


def test_full_store_pauses_rollout():
    host, controller = start_all_serving()
    controller.submit(20.0, Rollout("r", "restart", ["a", "b", "c"], minimum_ready_ms=0.0))
    host.is_store_full = True
    host.processes.pop("a")
    controller.on_process_exit(300.0, "a", 0)
    rollout = controller.rollouts["r"]
    assert rollout.state == RolloutState.PAUSED and "the store failed" in rollout.reason
    assert set(host.processes) == {"b", "c"}
    host.is_store_full = False
    controller.resume(400.0, "r")
    assert set(host.processes) == {"a", "b", "c"}


def test_full_store_delays_no_kill_and_restart_follows_once_it_writes():
    host, controller = start_all_serving("ab")
    host.processes["a"]["hangs"], host.now = True, 100.0
    controller.submit(100.0, Rollout("stop", "stop", ["a"]))
    host.is_store_full = True
    del host.processes["b"]
    controller.on_process_exit(150.0, "b", 1)
    host.now = 1000.0
    controller.on_tick(1000.0)
    assert host.kills == ["a"] and "b" not in host.processes
    assert "the store failed" in controller.instances["b"].reason
    host.is_store_full = False
    controller.on_tick(2500.0)
    assert "b" in host.processes


def test_abort_restarts_instances_out_of_service_and_takes_no_more():
    host, controller = start_all_serving()
    controller.submit(20.0, Rollout("r", "restart", ["a", "b", "c"], minimum_ready_ms=0.0))
    controller.abort(30.0, "r")
    host.processes.pop("a")
    controller.on_process_exit(200.0, "a", 0)
    controller.on_tick(300.0)
    assert set(host.processes) == {"a", "b", "c"} and controller.rollouts["r"].state == RolloutState.ABORTED
    assert not [name for name in "bc" if controller.instances[name].state != InstanceState.SERVING]


def start_agent_again(host, names="abc"):
    controller = start_agent(host, names, True)
    controller.on_tick(host.now)
    return controller


def roll_until_first_is_done():
    """Return a roll of a, b and c in which a is done and b is out of service."""
    host, controller = start_all_serving()
    rollout = Rollout("r", "roll", ["a", "b", "c"], "v2", minimum_available=2, minimum_ready_ms=0.0)
    controller.submit(20.0, rollout)
    host.end_process("a")
    controller.on_process_exit(30.0, "a", 0)
    controller.on_health_check(40.0, "a", True)
    controller.on_tick(45.0)
    assert [str(step) for step in controller.rollouts["r"].steps.values()] == ["done", "out", "pending"]
    return host, controller


def test_an_instance_that_exits_after_its_step_was_done_is_restarted_by_the_agent():
    # Guards against an instance that stays failed although it exited once and its step was done.
    host, controller = roll_until_first_is_done()
    host.end_process("a")
    controller.on_process_exit(50.0, "a", 1)
    assert controller.instances["a"].state == InstanceState.ABSENT
    host.now = 700.0
    controller.on_tick(700.0)
    assert host.processes["a"]["version"] == "v2" and controller.rollouts["r"].state == RolloutState.RUNNING


def test_a_rollout_is_not_finished_while_an_instance_that_was_done_does_not_serve():
    # Guards against "all done" under the minimum available.
    host, controller = roll_until_first_is_done()
    host.end_process("a")
    controller.on_process_exit(50.0, "a", 1)
    host.end_process("b")
    controller.on_process_exit(60.0, "b", 0)
    controller.on_health_check(70.0, "b", True)
    assert controller.rollouts["r"].steps["c"] == StepState.PENDING  # the floor counts `a` as down
    controller.on_tick(700.0)
    controller.on_health_check(710.0, "a", True)
    host.end_process("c")
    controller.on_process_exit(720.0, "c", 0)
    host.end_process("a")
    controller.on_process_exit(730.0, "a", 1)
    controller.on_health_check(740.0, "c", True)
    assert controller.rollouts["r"].state == RolloutState.RUNNING
    controller.on_tick(1900.0)
    controller.on_health_check(1910.0, "a", True)
    assert controller.rollouts["r"].state == RolloutState.FINISHED


def test_an_instance_that_was_done_and_can_not_come_back_pauses_the_rollout():
    # Guards against a rollout that ends as all done, or waits for ever, while an instance is lost for good.
    host, controller = roll_until_first_is_done()
    controller.instances["a"].settings.restart = False
    for name in "abc":
        host.processes.pop(name, None)
        controller.on_process_exit(100.0, name, 1 if name == "a" else 0)
        controller.on_health_check(110.0, name, name in host.processes)
    for now in (120.0, 130.0):
        controller.on_health_check(now, "b", True)
        controller.on_health_check(now, "c", True)
    rollout = controller.rollouts["r"]
    assert rollout.state == RolloutState.PAUSED and rollout.reason.startswith("a: exited by itself")
    assert rollout.steps["a"] == StepState.FAILED


def test_an_aborted_rollout_leaves_the_starts_of_its_pending_steps_to_the_agent():
    # Guards against instances that were lost with their machine and that an aborted rollout started no more.
    host, controller = start_all_serving()
    controller.submit(20.0, Rollout("r", "roll", ["a", "b", "c"], "v2", minimum_ready_ms=0.0))
    controller.pause("r")
    host.processes.clear()
    controller = start_agent_again(host)
    assert "c" not in host.processes and controller.owner_of_start("c").id == "r"
    controller.abort(200.0, "r")
    controller.on_tick(200.0)
    assert set(host.processes) == {"a", "b", "c"}


@pytest.mark.parametrize(("kind", "expected"), [("roll", ["v2"]), ("stop", []), ("restart", ["v1"])])
def test_a_step_whose_desired_state_was_not_stored_is_carried_out_although_the_process_ended(kind, expected):
    # Guards against a roll that ends as all done with the old version, and a stop that starts its instance.
    host, controller = start_all_serving("a")
    host.actions_until_kill = 3  # the rollout is stored, then its step, then the agent is killed
    with pytest.raises(AgentKilledError):
        controller.submit(20.0, Rollout("r", kind, ["a"], "v2", minimum_ready_ms=0.0))
    host.actions_until_kill = -1
    host.processes.clear()
    controller = start_agent_again(host, "a")
    for now in (30.0, 40.0, 50.0):
        if "a" in host.processes:
            controller.on_health_check(now, "a", True)
        controller.on_tick(now)
    assert host.versions() == expected and controller.rollouts["r"].state == RolloutState.FINISHED


def test_a_stop_that_names_a_version_leaves_the_instance_stopped_with_it():
    # Guards against review/8: an instance that was stopped before a roll kept the version of the undone roll.
    host, controller = start_all_serving("a")
    controller.manager.instances["a"].version = "v2"
    controller.submit(20.0, Rollout("undo", "stop", ["a"], "v1"))
    host.processes.clear()
    controller.on_process_exit(30.0, "a", 0)
    controller.on_tick(40.0)
    instance = controller.manager.instances["a"]
    assert (instance.wanted, instance.version) == (False, "v1") and not host.processes
