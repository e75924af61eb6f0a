"""The stand-in worker pool keeps the protocol's rules for links and numbers of notices."""

import base64
import json
import socket

import pytest

from testkit.fakes.peers import WAIT_TIMEOUT_S
from testkit.fakes.schedule import StepSchedule
from testkit.fakes.worker_pool import FakeWorkerPool


class Link:
    def __init__(self, workers, last_read):
        self.sock = socket.create_connection(workers.listener.getsockname(), WAIT_TIMEOUT_S)
        self.lines = self.sock.makefile("rb")
        self.say({"type": "bind", "n": last_read})
        assert self.hear()["type"] == "bound"

    def say(self, message):
        self.sock.sendall(json.dumps(message).encode() + b"\n")

    def spawn(self, job, key, work=1.0, calls=0):
        data = base64.b64encode(f"{key} {work} {calls}".encode()).decode()
        self.say({"type": "spawn", "job": job, "kind": "read", "data": data})

    def hear(self):
        return json.loads(self.lines.readline())

    def close(self):
        self.lines.close()
        self.sock.close()


@pytest.fixture
def workers():
    return FakeWorkerPool(2.0, StepSchedule([(0.0, 0.0)]))


def test_notices_are_numbered_from_1_again_for_a_server_that_starts_anew(workers):
    first = Link(workers, 0)
    first.spawn("a", "one")
    assert first.hear()["n"] == 1
    first.spawn("b", "two")
    assert first.hear()["n"] == 2
    first.close()
    second = Link(workers, 0)
    second.spawn("c", "three")
    notice = second.hear()
    assert (notice["n"], notice["job"]) == (1, "c")


def test_a_new_link_of_the_same_server_is_told_what_the_last_one_lost(workers):
    first = Link(workers, 0)
    first.spawn("a", "one")
    assert first.hear()["n"] == 1
    first.spawn("b", "two", 300.0)
    first.spawn("b", "two", 300.0)  # runs already: nothing happens
    first.say({"type": "poll", "ref": "read"})  # the pool has read all before it
    assert first.hear()["ref"] == "read"
    first.close()
    second = Link(workers, 1)
    notice = second.hear()
    assert (notice["n"], notice["job"]) == (2, "b")
    assert workers.ran == {"one": 1, "two": 1}


def test_runs_of_a_server_that_is_gone_tell_the_next_one_nothing(workers):
    first = Link(workers, 0)
    first.spawn("a", "one")
    assert first.hear()["n"] == 1
    first.spawn("old", "two", 150.0)
    first.say({"type": "poll", "ref": "read"})
    assert first.hear()["ref"] == "read"
    first.close()
    second = Link(workers, 0)
    second.spawn("new", "three", 300.0)  # longer than the old run had left
    notice = second.hear()
    assert (notice["n"], notice["job"]) == (1, "new")
