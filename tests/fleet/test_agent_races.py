"""Races between an agent and its instances, each forced. Rows and their state: docs/crossings.md."""

import _thread
import contextlib
import os
import signal
import socket
import subprocess
import sys
import threading
from types import SimpleNamespace

import pytest

from testkit.fakes.peers import WAIT_TIMEOUT_S
from testkit.faults.checkpoints import Checkpoint, run_in_thread
from testkit.faults.waiting import wait_until
from vetchford.fleet import health_checker, supervisor
from vetchford.fleet.agent import Agent
from vetchford.fleet.instance import InstanceSettings, InstanceState
from vetchford.fleet.rollout import ENDED_STATES, Rollout, RolloutState, StepState
from vetchford.fleet.rollout_controller import RolloutController
from vetchford.runtime.metrics import Metrics

# -- the health check


class ByteByByte(socket.socket):
    """What its peer sends arrives byte by byte."""

    def recv(self, size):
        return super().recv(1)


@pytest.mark.parametrize("word", [b"true", b"false"])
def test_a_health_reply_split_at_any_byte_is_read_as_the_whole_reply(monkeypatch, word):
    body = b'{"jsonrpc":"2.0","id":1,"result":{"serving":%b}}' % word
    with socket.create_server(("127.0.0.1", 0)) as listener:
        connections = []  # not closed on what it has not read: that would reset its answer

        def answer():
            connections.append(listener.accept()[0])
            connections[0].sendall(b"Content-Length: %d\r\n\r\n%b" % (len(body), body))

        answering, _ = run_in_thread(answer)
        monkeypatch.setattr(socket, "socket", ByteByByte)
        assert health_checker.is_ready(f"127.0.0.1:{listener.getsockname()[1]}") is (word == b"true")
        answering.join(WAIT_TIMEOUT_S)
        connections[0].close()


def test_health_checks_continue_after_thread_creation_failed(monkeypatch):
    """Threads run out between two checks of a round, and are there again for the next."""
    no_threads, refused, looked, over = (threading.Event() for _ in range(4))
    gate, checked, start = Checkpoint(), set(), _thread.start_new_thread

    class Processes(dict):
        def items(self):
            looked.set()
            if over.is_set():
                raise SystemExit
            return super().items()

    def starts(*given, **named):
        if no_threads.is_set():
            refused.set()
            raise RuntimeError("can't start new thread")
        return start(*given, **named)

    def check(name, process):
        gate.pass_or_wait()  # the first is held, so that another thread is needed for the second
        checked.add(name)

    monkeypatch.setattr(_thread, "start_new_thread", starts)
    monkeypatch.setattr(threading, "_start_new_thread", starts)
    monkeypatch.setattr(health_checker, "CHECK_INTERVAL_S", 0.01)
    checker = health_checker.HealthChecker(Metrics(), Processes(), check)

    def checking():
        with contextlib.suppress(SystemExit):
            checker.run()

    thread, _ = run_in_thread(checking)
    assert looked.wait(WAIT_TIMEOUT_S)
    no_threads.set()
    checker.processes = Processes(n0=1, n1=2, n2=3)
    assert refused.wait(WAIT_TIMEOUT_S)
    no_threads.clear()
    gate.open()
    wait_until(lambda: checked == {"n0", "n1", "n2"}, "all are checked")
    over.set()
    thread.join(WAIT_TIMEOUT_S)


# -- its processes


def test_killing_an_ended_adopted_process_does_not_signal_a_process_that_reuses_its_pid():
    """It ended, its end is not read yet, and its number leads another session by now."""
    ended = subprocess.Popen([sys.executable, "-S", "-c", ""])
    pidfd = os.pidfd_open(ended.pid)
    ended.wait(WAIT_TIMEOUT_S)
    other = subprocess.Popen(
        [sys.executable, "-S", "-c", "input()"], stdin=subprocess.PIPE, start_new_session=True
    )
    try:
        adopted = supervisor.Process(other.pid, "another's start", pidfd, None)
        Agent.kill(SimpleNamespace(processes={"n0": adopted}), "n0")
        other.terminate()
        assert other.wait(WAIT_TIMEOUT_S) == -signal.SIGTERM  # else SIGKILL was there first
    finally:
        other.kill()
        other.wait()
        os.close(pidfd)


# -- its decisions


class World:
    """What the decisions act through: keeps what they did; its store can be full."""

    def __init__(self):
        self.acts, self.records, self.full = [], {}, False

    def save_record(self, kind, name, body):
        if self.full:
            raise OSError("full")
        self.records[kind, name] = body

    def __getattr__(self, name):
        return lambda *given, **fields: self.acts.append((name, *given))

    def did(self, act):
        return [given[1] for given in self.acts if given[0] == act]


def all_serving(names="abc"):
    """All serve, under the old version."""
    world = World()
    controller = RolloutController(world)
    for name in names:
        controller.declare(name, InstanceSettings(stop_timeout_ms=400.0, ready_timeout_ms=1500.0), "v1")
        controller.on_process_found(0.0, name, None)
    controller.submit(0.0, Rollout("up", "start", list(names), batch=9, minimum_ready_ms=0.0))
    for name in names:
        controller.on_health_check(1.0, name, True)
    controller.on_tick(2.0)
    assert controller.rollouts["up"].state == RolloutState.FINISHED
    return world, controller


def exit_and_serve(controller, now, name):
    """It ends as it should, and its next process serves."""
    assert controller.instances[name].state == InstanceState.DRAINING
    controller.on_process_exit(now, name, 0)
    controller.on_health_check(now + 1.0, name, True)


def test_an_instance_that_hangs_in_its_drain_is_killed_after_its_rollout_was_aborted():
    world, controller = all_serving()
    controller.submit(10.0, Rollout("r", "restart", ["a"], minimum_ready_ms=0.0))
    controller.abort(20.0, "r")
    for now in range(100, 2500, 50):
        controller.on_tick(float(now))
    assert "a" in world.did("kill")
    controller.on_process_exit(2500.0, "a", -9)
    controller.on_tick(2600.0)
    assert world.did("spawn").count("a") == 2 and controller.instances["a"].state == InstanceState.STARTING


def roll_and_fail(controller, now):
    """A roll over all, one by one; the second one's new version fails, so that both go back."""
    controller.submit(
        now, Rollout("r", "roll", ["a", "b", "c"], "v2", minimum_ready_ms=0.0, on_failure="back")
    )
    exit_and_serve(controller, now + 10.0, "a")
    controller.on_tick(now + 20.0)
    controller.on_process_exit(now + 30.0, "b", 0)  # it ends, and its next process
    controller.on_process_exit(now + 40.0, "b", 1)  # crashes


def test_a_paused_rollback_resumes_as_a_rollback_also_after_an_agent_restart():
    world, controller = all_serving()
    roll_and_fail(controller, 100.0)
    assert controller.rollouts["r"].state == RolloutState.ROLLING_BACK
    controller.pause("r")
    restarted = RolloutController(world)  # the agent is restarted in between
    for name in controller.instances:
        restarted.declare(name, InstanceSettings(stop_timeout_ms=400.0, ready_timeout_ms=1500.0), "v1")
        restarted.restore("instance", name, world.records["instance", name])
    restarted.restore("change", "r", world.records["change", "r"])
    for name, one in controller.instances.items():
        restarted.on_process_found(160.0, name, one.running_version or None)
    restarted.resume(200.0, "r")
    for now in range(210, 900, 10):
        for name, one in restarted.instances.items():
            if one.state == InstanceState.DRAINING:
                restarted.on_process_exit(now, name, 0)
            elif one.state == InstanceState.STARTING:
                restarted.on_health_check(now, name, True)
        restarted.on_tick(float(now))
    assert (restarted.rollouts["r"].state, restarted.rollouts["r"].reason) == (
        RolloutState.FAILED,
        "gone back",
    )
    assert {name: one.running_version for name, one in restarted.instances.items()} == dict.fromkeys(
        "abc", "v1"
    )


def test_a_store_failure_at_the_start_of_a_rollback_leaves_the_steps_as_recorded():
    world, controller = all_serving()
    record, failed = world.save_record, []

    def fails_once(kind, name, body):
        if kind == "change" and body["state"] == RolloutState.ROLLING_BACK and not failed:
            failed.append(name)
            raise OSError("full")
        record(kind, name, body)

    world.save_record = fails_once
    roll_and_fail(controller, 100.0)
    assert failed == ["r"] and controller.rollouts["r"].state == RolloutState.PAUSED
    assert controller.rollouts["r"].steps == {
        "a": StepState.DONE,
        "b": StepState.FAILED,
        "c": StepState.PENDING,
    }
    assert controller.rollouts["r"].steps == world.records["change", "r"]["steps"]


def test_an_abort_that_cannot_be_stored_has_no_effect_and_can_be_repeated():
    world, controller = all_serving()
    controller.submit(10.0, Rollout("r", "restart", ["a", "b"], minimum_ready_ms=0.0))
    world.full = True
    with pytest.raises(OSError):
        controller.abort(20.0, "r")
    assert controller.rollouts["r"].state not in ENDED_STATES
    world.full = False
    assert controller.abort(30.0, "r").state == RolloutState.ABORTED
    controller.on_process_exit(100.0, "a", 0)
    controller.on_tick(1100.0)
    assert controller.instances["a"].state == InstanceState.STARTING


def test_a_pause_that_cannot_be_stored_takes_effect_and_is_logged():
    world, controller = all_serving()
    controller.submit(10.0, Rollout("r", "restart", ["a", "b"], minimum_ready_ms=0.0))
    noted = []
    world.note = lambda event, **fields: noted.append((event, fields.get("now")))
    world.full = True
    with pytest.raises(OSError):
        controller.pause("r")
    assert controller.rollouts["r"].state == RolloutState.PAUSED and noted == [
        ("rollout_state_changed", RolloutState.PAUSED)
    ]
    controller.on_process_exit(30.0, "a", 0)
    assert controller.instances["a"].state == InstanceState.STOPPED  # nothing more is begun


def test_a_store_failure_during_an_abort_leaves_no_instance_stopped():
    """The change is on record as aborted; what follows for its instances is not."""
    world, controller = all_serving()
    controller.submit(10.0, Rollout("r", "restart", ["a", "b"], batch=2, minimum_ready_ms=0.0))
    controller.pause("r")
    for name in "ab":
        controller.on_process_exit(30.0, name, 0)
    record = world.save_record

    def only_changes(kind, name, body):
        if kind == "instance":
            raise OSError("full")
        record(kind, name, body)

    world.save_record = only_changes
    controller.abort(40.0, "r")
    world.save_record = record
    controller.on_tick(2000.0)
    assert {name: controller.instances[name].state for name in "ab"} == dict.fromkeys(
        "ab", InstanceState.STARTING
    )
