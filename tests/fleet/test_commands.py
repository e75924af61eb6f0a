"""`vetchford fleet` without an agent process: usage, selection, requests, and output while waiting."""

import json
import os
import socket
import subprocess
import sys
import threading
from types import SimpleNamespace

import pytest
from helpers import ROOT

from vetchford.fleet.agent_client import ReceivedReply, UnreachableError, decode_reply
from vetchford.fleet.agent_messages import InstanceStatus, RolloutRequest, encode, submit_request
from vetchford.fleet.commands import command_line, rollout_commands
from vetchford.fleet.commands.exit_status import ExitStatus
from vetchford.fleet.commands.rollout_commands import RolloutWaiter
from vetchford.fleet.commands.selection import select_of_agent, select_of_fleet
from vetchford.fleet.fleet_client import fleet_request
from vetchford.fleet.fleet_messages import FleetInstanceStatus, FleetRolloutStatus, FleetSubmitRequest
from vetchford.fleet.rollout import RefusedError

PAY = {"group": "pay", "labels": ["canary"]}
WEB = {"group": "web", "labels": []}


def agent_instance(name, group, labels):
    return InstanceStatus(
        name=name,
        state="serving",
        version="1",
        reason="ready",
        group=group,
        labels=labels,
        wanted=True,
        state_age_ms=0,
        restarts=0,
        kill_count=0,
        pid=0,
        memory_kb=0,
        rollout_id="",
    )


def fleet_instance(group, labels):
    return FleetInstanceStatus(
        state="serving", group=group, reason="ready", version="1", labels=labels, rollout_id=""
    )


NO_FLEET_REFUSAL = "this agent is in no fleet: its settings have no 'peers'"


class FakeAgent:
    """Sends the same reply to each request; serves one request per connection."""

    def __init__(self, path, reply):
        self.path = str(path)
        self.reply = reply
        self.requests = []
        self.sock = socket.socket(socket.AF_UNIX)
        self.sock.bind(self.path)
        self.sock.listen()
        threading.Thread(target=self.serve, name="fake agent", daemon=True).start()

    def serve(self):
        while True:
            connection = self.sock.accept()[0]
            with connection, connection.makefile("rwb") as stream:
                self.requests.append(stream.readline())
                stream.write(json.dumps(self.reply).encode() + b"\n")


@pytest.fixture
def agent_without_fleet(tmp_path):
    return FakeAgent(tmp_path / "agent.sock", {"refused": NO_FLEET_REFUSAL})


@pytest.fixture
def agent_in_fleet(tmp_path):
    """Return a fake agent that replies to a request for peers."""
    peer = {
        "name": "west",
        "link": "up",
        "life": 2,
        "why": "",
        "view": "there",
        "member": True,
        "voter": True,
    }
    reply = {
        "name": "east",
        "fleet": "pay",
        "life": 1,
        "peers": [peer],
        "book": {"role": "follows", "driver": "west", "counted": True},
    }
    return FakeAgent(tmp_path / "agent.sock", reply)


@pytest.mark.parametrize(
    ("arguments", "message"),
    [
        (["--socket", "x", "melt"], "wrong usage; see `vetchford fleet --help`"),
        (
            ["--socket", "x", "--batch", "many", "start", "all"],
            "wrong usage; see `vetchford fleet --help`",
        ),
        (["status"], "--socket is missing: name the socket of at least one agent"),
    ],
)
def test_wrong_usage_is_one_line_and_exit_status_two(arguments, message, capsys):
    assert command_line.main(arguments) == 2
    assert capsys.readouterr().err == f"vetchford: {message}\n"


def test_an_agent_that_does_not_reply_is_reported_as_unknown(tmp_path, capsys):
    path = str(tmp_path / "nobody")
    assert command_line.main(["--socket", path, "--json", "pause", "r1"]) == 4
    captured = capsys.readouterr()
    assert captured.err.startswith(f"vetchford: {path}: ") and captured.err.endswith(
        "the agent's state is unknown\n"
    )
    assert captured.out.startswith('{"unknown": ')


@pytest.mark.parametrize(
    ("selectors", "selected"),
    [
        (["all"], ["n0", "n1", "m0"]),
        (["n*"], ["n0", "n1"]),
        (["m0", "n0"], ["n0", "m0"]),
        (["group=web"], ["n1"]),
        (["label=canary"], ["n0", "m0"]),
        (["agent="], []),
        (["n0@east"], []),
        ([], []),
    ],
)
def test_selection_on_one_agent(selectors, selected):
    instances = [
        agent_instance("n0", **PAY),
        agent_instance("n1", **WEB),
        agent_instance("m0", **PAY),
    ]
    assert select_of_agent(instances, selectors) == selected


@pytest.mark.parametrize(
    ("selectors", "selected"),
    [
        (["all"], ["n0@east", "n0@west", "n1@west"]),
        (["n0"], ["n0@east", "n0@west"]),
        (["n*@west"], ["n0@west", "n1@west"]),
        (["agent=east", "n1@west"], ["n0@east", "n1@west"]),
        (["group=web"], ["n1@west"]),
        (["label=canary"], ["n0@east", "n0@west"]),
    ],
)
def test_selection_over_a_fleet(selectors, selected):
    instances = {
        "n0@east": fleet_instance(**PAY),
        "n0@west": fleet_instance(**PAY),
        "n1@west": fleet_instance(**WEB),
    }
    assert select_of_fleet(instances, selectors) == selected


def rollout_reply(state, waits_for="", **steps):
    rollout = FleetRolloutStatus(
        id="r1",
        kind="roll",
        state=state,
        reason="all done",
        steps=steps,
        killed=["n1"],
        batch=1,
        minimum_available=0,
        waits_for=waits_for,
        leader="east",
        leader_silence_ms=0,
        term=65,
        revision=2,
        replied_by="east",
    )
    return ReceivedReply(rollout, {"state": state, "steps": steps})


def rollout_waiter(replies, patience_s=60.0, **arguments):
    """Return a waiter that receives the given replies in order; an exception among them is raised."""
    remaining_replies = iter(replies)

    def find():
        reply = next(remaining_replies)
        if isinstance(reply, Exception):
            raise reply
        return reply

    options = SimpleNamespace(prints_text=True, patience_s=patience_s)
    return RolloutWaiter("r1", options, find, poll_interval_s=0.0, unreachable_timeout_s=60.0, **arguments)


def test_each_step_is_printed_once_and_the_end_with_the_killed_instances(monkeypatch, capsys):
    monkeypatch.setattr(rollout_commands, "RETRY_INTERVAL_S", 0.0)
    replies = [
        rollout_reply("running", n0="pending", n1="out"),
        UnreachableError("east.sock", "the agent is restarted"),
        rollout_reply("running", n0="out", n1="out"),
        rollout_reply("finished", n0="done", n1="done"),
    ]
    last_reply, status = rollout_waiter(replies).wait()
    assert (last_reply["state"], status) == ("finished", ExitStatus.DONE)
    assert capsys.readouterr().out.splitlines() == [
        "n1 out",
        "n0 out",
        "n0 done",
        "n1 done",
        "change r1 finished: all done; killed at their stop time: n1",
    ]


def test_the_reason_why_a_rollout_waits_is_printed_when_it_changes(capsys):
    replies = [rollout_reply("running", waits_for=reason) for reason in ("floor", "floor", "", "floor")]
    replies.append(rollout_reply("paused"))
    _, status = rollout_waiter(replies, wait_reason=lambda rollout: rollout.waits_for).wait()
    assert status == ExitStatus.FAILED
    assert capsys.readouterr().out.splitlines()[:-1] == ["waits: floor", "waits: floor"]


@pytest.mark.parametrize(("state", "status"), [("finished", 0), ("paused", 1), ("broken", 3), ("aborted", 3)])
def test_final_states_end_the_wait_with_their_exit_status(state, status):
    assert rollout_waiter([rollout_reply(state)]).wait()[1] == status


@pytest.mark.parametrize(
    "command",
    [
        ("wait", "r1"),
        ("status",),
        ("start", "all"),
        ("explain", "n0"),
        ("history",),
        ("--across", "status"),
        ("--across", "start", "all"),
        ("--across", "--id", "r1", "start", "all"),
        ("--across", "wait", "r1"),
        ("admit", "east"),
        ("peers",),
        ("watch",),
    ],
)
def test_a_refusal_is_one_line_and_exit_status_two(agent_without_fleet, command, capsys):
    assert command_line.main(["--socket", agent_without_fleet.path, *command]) == 2
    captured = capsys.readouterr()
    assert captured.err == f"vetchford: {NO_FLEET_REFUSAL}\n"
    assert captured.out == ""


def test_a_refusal_as_json_is_the_reply(agent_without_fleet, capsys):
    assert command_line.main(["--socket", agent_without_fleet.path, "--json", "wait", "r1"]) == 2
    assert json.loads(capsys.readouterr().out) == {"refused": NO_FLEET_REFUSAL}


def test_history_of_a_whole_fleet_is_refused_in_one_line(agent_in_fleet, capsys):
    assert command_line.main(["--socket", agent_in_fleet.path, "--across", "history"]) == 2
    assert (
        capsys.readouterr().err == "vetchford: --across cannot be used with history: each agent has its own\n"
    )
    assert agent_in_fleet.requests == []


def test_a_malformed_reply_is_one_line_and_exit_status_one(tmp_path, capsys):
    agent = FakeAgent(tmp_path / "agent.sock", {"instances": 3})
    assert command_line.main(["--socket", agent.path, "status"]) == 1
    assert capsys.readouterr().err.startswith("vetchford: malformed reply from an agent: TypeError")


def test_peers_are_shown_with_their_view_and_link(agent_in_fleet, capsys):
    assert command_line.main(["--socket", agent_in_fleet.path, "peers"]) == 0
    assert capsys.readouterr().out.splitlines() == [
        "east of pay, life 1: follows west",
        "PEER  VIEW   LINK  LIFE  MEMBER  VOTER  WHY",
        "west  there  up    2     yes     yes",
    ]


@pytest.mark.parametrize(
    ("command", "status", "message"),
    [
        (["peers"], 1, "vetchford: standard output was closed before all of it was written\n"),
        (["--patience", "30", "watch"], 0, ""),  # closing the pipe is a normal way to end `watch`
    ],
)
def test_a_closed_standard_output_ends_the_command(command, status, message, agent_in_fleet):
    agent_in_fleet.reply |= {
        "instances": {},
        "unknown": ["west"],
        "spans": [],
    }  # the fields that `watch` reads
    reader, writer = os.pipe()
    os.close(reader)
    arguments = [sys.executable, "-m", "vetchford", "fleet", "--socket", agent_in_fleet.path, *command]
    try:
        completed = subprocess.run(
            arguments, cwd=ROOT, stdout=writer, stderr=subprocess.PIPE, text=True, timeout=60
        )
    finally:
        os.close(writer)
    assert (completed.returncode, completed.stderr) == (status, message)


@pytest.mark.parametrize(
    ("arguments", "request_line"),
    [
        (("status",), b'{"ask": "status"}\n'),
        (("history",), b'{"ask": "history"}\n'),
        (("explain", "n0"), b'{"ask": "explain", "name": "n0"}\n'),
        (("pause", "r1"), b'{"ask": "pause", "id": "r1"}\n'),
        (("wait", "r1"), b'{"ask": "find", "id": "r1"}\n'),
        (("peers",), b'{"ask": "across", "request": {"ask": "peers"}}\n'),
        (("--across", "status"), b'{"ask": "across", "request": {"ask": "all"}}\n'),
        (("--across", "abort", "r1"), b'{"ask": "across", "request": {"ask": "abort", "id": "r1"}}\n'),
        (
            ("--by", "ann", "dismiss", "east"),
            b'{"ask": "across", "request": {"ask": "dismiss", "name": "east", "by": "ann"}}\n',
        ),
    ],
)
def test_requests_on_the_socket_keep_their_bytes(agent_without_fleet, arguments, request_line):
    command_line.main(["--socket", agent_without_fleet.path, *arguments])
    assert agent_without_fleet.requests == [request_line]


def test_a_request_for_a_rollout_keeps_its_bytes():
    rollout = RolloutRequest(
        id="r1",
        kind="roll",
        targets=["n0"],
        version="v2",
        start_interval_ms=0.0,
        minimum_ready_ms=2000.0,
        on_failure="pause",
        batch=1,
        minimum_available=0,
    )
    fields = (
        '"id": "r1", "kind": "roll", "targets": ["n0"], "version": "v2", "spacing": 0.0, "soak": 2000.0, '
        '"on_failure": "pause", "batch": 1, "floor": 0'
    )
    assert json.dumps(encode(submit_request(rollout))) == '{"ask": "change", ' + fields + "}"
    dry_run = encode(submit_request(rollout, dry_run=True))
    assert json.dumps(dry_run) == '{"ask": "change", ' + fields + ', "dry_run": true}'
    fleet_submission = encode(fleet_request(FleetSubmitRequest(encode(rollout))))
    assert json.dumps(fleet_submission) == (
        '{"ask": "across", "request": {"ask": "span", "change": {' + fields + "}}}"
    )


def test_a_refusal_in_a_reply_is_raised():
    with pytest.raises(RefusedError, match="no change r1"):
        decode_reply({"refused": "no change r1"}, lambda encoded: encoded)


def test_a_wait_that_exceeds_its_patience_is_one_line_and_exit_status_one(capsys):
    assert rollout_waiter([rollout_reply("running")], patience_s=-1.0).wait()[1] == ExitStatus.FAILED
    assert capsys.readouterr().err == "vetchford: timed out: change r1 is still running\n"
