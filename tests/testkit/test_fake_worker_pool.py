"""Guards that the fake worker pools follow the protocol for links, polls and notice numbers."""

import base64
import json
import socket

import pytest
from helpers import ServerProcess

from testkit.fakes.peers import WAIT_TIMEOUT_S, ScriptedWorkerPool
from testkit.fakes.schedule import StepSchedule
from testkit.fakes.worker_pool import FakeWorkerPool


class Link:
    """A link of a server to the worker pool."""

    def __init__(self, pool, last_read_number):
        self.sock = socket.create_connection(pool.listener.getsockname(), WAIT_TIMEOUT_S)
        self.lines = self.sock.makefile("rb")
        self.send({"type": "bind", "n": last_read_number})
        assert self.receive()["type"] == "bound"

    def send(self, message):
        self.sock.sendall(json.dumps(message).encode() + b"\n")

    def spawn(self, job, key, work=1.0, calls=0):
        data = base64.b64encode(f"{key} {work} {calls}".encode()).decode()
        self.send({"type": "spawn", "job": job, "kind": "read", "data": data})

    def receive(self):
        return json.loads(self.lines.readline())

    def close(self):
        self.lines.close()
        self.sock.close()


@pytest.fixture
def pool():
    return FakeWorkerPool(2.0, StepSchedule([(0.0, 0.0)]))


def test_notice_numbers_start_again_from_1_for_a_restarted_server(pool):
    first = Link(pool, 0)
    first.spawn("a", "one")
    assert first.receive()["n"] == 1
    first.spawn("b", "two")
    assert first.receive()["n"] == 2
    first.close()
    second = Link(pool, 0)
    second.spawn("c", "three")
    notice = second.receive()
    assert (notice["n"], notice["job"]) == (1, "c")


def test_a_new_link_of_the_same_server_gets_the_notices_that_the_last_link_lost(pool):
    first = Link(pool, 0)
    first.spawn("a", "one")
    assert first.receive()["n"] == 1
    first.spawn("b", "two", 300.0)
    first.spawn("b", "two", 300.0)  # repeated command: has no effect
    first.send({"type": "poll", "ref": "read"})  # its reply shows that the pool has read all earlier commands
    assert first.receive()["ref"] == "read"
    first.close()
    second = Link(pool, 1)
    notice = second.receive()
    assert (notice["n"], notice["job"]) == (2, "b")
    assert pool.ran == {"one": 1, "two": 1}


def test_runs_of_a_previous_server_send_no_notice_to_the_next_server(pool):
    first = Link(pool, 0)
    first.spawn("a", "one")
    assert first.receive()["n"] == 1
    first.spawn("old", "two", 150.0)
    first.send({"type": "poll", "ref": "read"})
    assert first.receive()["ref"] == "read"
    first.close()
    second = Link(pool, 0)
    second.spawn("new", "three", 300.0)  # longer than the remaining time of the old run
    notice = second.receive()
    assert (notice["n"], notice["job"]) == (1, "new")


def test_a_pool_that_ignores_polls_has_answered_the_first_of_its_link(tmp_path):
    # Guards against issue 56: the server never uses a link whose first poll is not answered.
    with ServerProcess(tmp_path, pool=ScriptedWorkerPool(first_poll_delay_s=0.3)) as server:
        client = server.connect_client()
        server.pool.ignore_polls()
        job = client.request(1)
        assert server.pool.take("spawn")[1]["job"] == job
        server.pool.disconnect()
        server.pool.take("bind")
        server.pool.ignore_polls()
        server.pool.finish(job)
        assert client.receive()["id"] == 1
        client.request(2)
        server.pool.take("spawn")
