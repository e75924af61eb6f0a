"""Races between an agent and its instances, each forced to occur; listed in docs/crossings.md."""

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


class OneBytePerReadSocket(socket.socket):
    """A socket that receives one byte at a time."""

    def recv(self, size):
        return super().recv(1)


@pytest.mark.parametrize("serving", [b"true", b"false"])
def test_a_health_reply_split_at_any_byte_is_read_as_the_whole_reply(monkeypatch, serving):
    body = b'{"jsonrpc":"2.0","id":1,"result":{"serving":%b}}' % serving
    with socket.create_server(("127.0.0.1", 0)) as listener:
        connections = []  # kept open: a close with unread data would reset the connection

        def reply():
            connections.append(listener.accept()[0])
            connections[0].sendall(b"Content-Length: %d\r\n\r\n%b" % (len(body), body))

        replying, _ = run_in_thread(reply)
        monkeypatch.setattr(socket, "socket", OneBytePerReadSocket)
        assert health_checker.is_ready(f"127.0.0.1:{listener.getsockname()[1]}") is (serving == b"true")
        replying.join(WAIT_TIMEOUT_S)
        connections[0].close()


def test_health_checks_continue_after_thread_creation_failed(monkeypatch):
    """Thread creation fails between two checks of a round and works again for the next one."""
    no_threads, refused, listed, finished = (threading.Event() for _ in range(4))
    first_check, checked, start_new_thread = Checkpoint(), set(), _thread.start_new_thread

    class Processes(dict):
        def items(self):
            listed.set()
            if finished.is_set():
                raise SystemExit
            return super().items()

    def start_thread(*args, **kwargs):
        if no_threads.is_set():
            refused.set()
            raise RuntimeError("can't start new thread")
        return start_new_thread(*args, **kwargs)

    def check(name, process):
        first_check.pass_or_wait()  # held, so that the second check needs another thread
        checked.add(name)

    monkeypatch.setattr(_thread, "start_new_thread", start_thread)
    monkeypatch.setattr(threading, "_start_new_thread", start_thread)
    monkeypatch.setattr(health_checker, "CHECK_INTERVAL_S", 0.01)
    checker = health_checker.HealthChecker(Metrics(), Processes(), check)

    def run_checker():
        with contextlib.suppress(SystemExit):
            checker.run()

    thread, _ = run_in_thread(run_checker)
    assert listed.wait(WAIT_TIMEOUT_S)
    no_threads.set()
    checker.processes = Processes(n0=1, n1=2, n2=3)
    assert refused.wait(WAIT_TIMEOUT_S)
    no_threads.clear()
    first_check.open()
    wait_until(lambda: checked == {"n0", "n1", "n2"}, "not all instances were checked")
    finished.set()
    thread.join(WAIT_TIMEOUT_S)


# -- processes


def test_killing_an_ended_adopted_process_does_not_signal_a_process_that_reuses_its_pid():
    """The pid of an adopted process is reused by another session leader before its exit is noticed."""
    ended = subprocess.Popen([sys.executable, "-S", "-c", ""])
    pidfd = os.pidfd_open(ended.pid)
    ended.wait(WAIT_TIMEOUT_S)
    other = subprocess.Popen(
        [sys.executable, "-S", "-c", "input()"], stdin=subprocess.PIPE, start_new_session=True
    )
    try:
        adopted = supervisor.Process(other.pid, "start time of another process", pidfd, None)
        Agent.kill(SimpleNamespace(processes={"n0": adopted}), "n0")
        other.terminate()
        assert other.wait(WAIT_TIMEOUT_S) == -signal.SIGTERM  # -SIGKILL if the kill reached it
    finally:
        other.kill()
        other.wait()
        os.close(pidfd)


# -- rollout controller


class RecordingActions:
    """Rollout actions that record their calls; writes to the store can be made to fail."""

    def __init__(self):
        self.calls, self.records, self.store_full = [], {}, False

    def save_record(self, kind, name, body):
        if self.store_full:
            raise OSError("full")
        self.records[kind, name] = body

    def __getattr__(self, name):
        return lambda *args, **fields: self.calls.append((name, *args))

    def instances_of(self, action):
        return [call[1] for call in self.calls if call[0] == action]


def serving_instances(names="abc"):
    """Return actions and a controller whose instances all serve version v1."""
    actions = RecordingActions()
    controller = RolloutController(actions)
    for name in names:
        controller.declare(name, InstanceSettings(stop_timeout_ms=400.0, ready_timeout_ms=1500.0), "v1")
        controller.on_process_found(0.0, name, None)
    controller.submit(0.0, Rollout("up", "start", list(names), batch=9, minimum_ready_ms=0.0))
    for name in names:
        controller.on_health_check(1.0, name, True)
    controller.on_tick(2.0)
    assert controller.rollouts["up"].state == RolloutState.FINISHED
    return actions, controller


def exit_and_serve(controller, now, name):
    """Let the draining process exit with status 0 and its successor pass a health check."""
    assert controller.instances[name].state == InstanceState.DRAINING
    controller.on_process_exit(now, name, 0)
    controller.on_health_check(now + 1.0, name, True)


def test_an_instance_that_hangs_in_its_drain_is_killed_after_its_rollout_was_aborted():
    actions, controller = serving_instances()
    controller.submit(10.0, Rollout("r", "restart", ["a"], minimum_ready_ms=0.0))
    controller.abort(20.0, "r")
    for now in range(100, 2500, 50):
        controller.on_tick(float(now))
    assert "a" in actions.instances_of("kill")
    controller.on_process_exit(2500.0, "a", -9)
    controller.on_tick(2600.0)
    assert (
        actions.instances_of("spawn").count("a") == 2
        and controller.instances["a"].state == InstanceState.STARTING
    )


def roll_and_fail(controller, now):
    """Roll all instances one by one; the second one crashes on the new version, which starts a rollback."""
    controller.submit(
        now, Rollout("r", "roll", ["a", "b", "c"], "v2", minimum_ready_ms=0.0, on_failure="back")
    )
    exit_and_serve(controller, now + 10.0, "a")
    controller.on_tick(now + 20.0)
    controller.on_process_exit(now + 30.0, "b", 0)  # the old process exits as ordered
    controller.on_process_exit(now + 40.0, "b", 1)  # the new process crashes


def test_a_paused_rollback_resumes_as_a_rollback_also_after_an_agent_restart():
    actions, controller = serving_instances()
    roll_and_fail(controller, 100.0)
    assert controller.rollouts["r"].state == RolloutState.ROLLING_BACK
    controller.pause("r")
    restarted = RolloutController(actions)  # the agent was restarted
    for name in controller.instances:
        restarted.declare(name, InstanceSettings(stop_timeout_ms=400.0, ready_timeout_ms=1500.0), "v1")
        restarted.restore("instance", name, actions.records["instance", name])
    restarted.restore("change", "r", actions.records["change", "r"])
    for name, instance in controller.instances.items():
        restarted.on_process_found(160.0, name, instance.running_version or None)
    restarted.resume(200.0, "r")
    for now in range(210, 900, 10):
        for name, instance in restarted.instances.items():
            if instance.state == InstanceState.DRAINING:
                restarted.on_process_exit(now, name, 0)
            elif instance.state == InstanceState.STARTING:
                restarted.on_health_check(now, name, True)
        restarted.on_tick(float(now))
    assert (restarted.rollouts["r"].state, restarted.rollouts["r"].reason) == (
        RolloutState.FAILED,
        "gone back",
    )
    assert {
        name: instance.running_version for name, instance in restarted.instances.items()
    } == dict.fromkeys("abc", "v1")


def test_a_store_failure_at_the_start_of_a_rollback_leaves_the_steps_as_recorded():
    actions, controller = serving_instances()
    save_record, failed = actions.save_record, []

    def fail_first_rollback(kind, name, body):
        if kind == "change" and body["state"] == RolloutState.ROLLING_BACK and not failed:
            failed.append(name)
            raise OSError("full")
        save_record(kind, name, body)

    actions.save_record = fail_first_rollback
    roll_and_fail(controller, 100.0)
    assert failed == ["r"] and controller.rollouts["r"].state == RolloutState.PAUSED
    assert controller.rollouts["r"].steps == {
        "a": StepState.DONE,
        "b": StepState.FAILED,
        "c": StepState.PENDING,
    }
    assert controller.rollouts["r"].steps == actions.records["change", "r"]["steps"]


def test_an_abort_that_cannot_be_stored_has_no_effect_and_can_be_repeated():
    actions, controller = serving_instances()
    controller.submit(10.0, Rollout("r", "restart", ["a", "b"], minimum_ready_ms=0.0))
    actions.store_full = True
    with pytest.raises(OSError):
        controller.abort(20.0, "r")
    assert controller.rollouts["r"].state not in ENDED_STATES
    actions.store_full = False
    assert controller.abort(30.0, "r").state == RolloutState.ABORTED
    controller.on_process_exit(100.0, "a", 0)
    controller.on_tick(1100.0)
    assert controller.instances["a"].state == InstanceState.STARTING


def test_a_pause_that_cannot_be_stored_takes_effect_and_is_logged():
    actions, controller = serving_instances()
    controller.submit(10.0, Rollout("r", "restart", ["a", "b"], minimum_ready_ms=0.0))
    logged = []
    actions.log_event = lambda event, **fields: logged.append((event, fields.get("now")))
    actions.store_full = True
    with pytest.raises(OSError):
        controller.pause("r")
    assert controller.rollouts["r"].state == RolloutState.PAUSED and logged == [
        ("rollout_state_changed", RolloutState.PAUSED)
    ]
    controller.on_process_exit(30.0, "a", 0)
    assert controller.instances["a"].state == InstanceState.STOPPED  # no further step is started


def test_a_store_failure_during_an_abort_leaves_no_instance_stopped():
    """The abort is stored, but the writes of its instances' records fail."""
    actions, controller = serving_instances()
    controller.submit(10.0, Rollout("r", "restart", ["a", "b"], batch=2, minimum_ready_ms=0.0))
    controller.pause("r")
    for name in "ab":
        controller.on_process_exit(30.0, name, 0)
    save_record = actions.save_record

    def fail_for_instances(kind, name, body):
        if kind == "instance":
            raise OSError("full")
        save_record(kind, name, body)

    actions.save_record = fail_for_instances
    controller.abort(40.0, "r")
    actions.save_record = save_record
    controller.on_tick(2000.0)
    assert {name: controller.instances[name].state for name in "ab"} == dict.fromkeys(
        "ab", InstanceState.STARTING
    )
