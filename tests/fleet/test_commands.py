"""Commands of the tool that need no agent: usage, selection, and what is said while a rollout is followed."""

import json
import os
import socket
import subprocess
import sys
import threading
from types import SimpleNamespace

import pytest
from helpers import ROOT

from vetchford.fleet.agent_client import Answer, UnreachableError, decode_answer
from vetchford.fleet.agent_messages import InstanceStatus, RolloutRequest, encode, submit_request
from vetchford.fleet.commands import command_line, rollout_commands
from vetchford.fleet.commands.exit_status import ExitStatus
from vetchford.fleet.commands.rollout_commands import Follower
from vetchford.fleet.commands.selection import select_of_agent, select_of_fleet
from vetchford.fleet.fleet_client import fleet_request
from vetchford.fleet.fleet_messages import FleetInstanceStatus, FleetRolloutStatus, FleetSubmitRequest
from vetchford.fleet.rollout import RefusedError

PAY = {"group": "pay", "labels": ["canary"]}
WEB = {"group": "web", "labels": []}


def instance_of_agent(name, group, labels):
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


def instance_of_fleet(group, labels):
    return FleetInstanceStatus(
        state="serving", group=group, reason="ready", version="1", labels=labels, rollout_id=""
    )


OF_NO_FLEET = "this agent is of no fleet: its settings have no 'peers'"


class FakeAgent:
    """Gives the same reply to each request; one connection a request, as the tool makes them."""

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
            with connection, connection.makefile("rwb") as lines:
                self.requests.append(lines.readline())
                lines.write(json.dumps(self.reply).encode() + b"\n")


@pytest.fixture
def agent_of_no_fleet(tmp_path):
    return FakeAgent(tmp_path / "agent.sock", {"refused": OF_NO_FLEET})


@pytest.fixture
def agent_of_fleet(tmp_path):
    """One that answers a request for peers."""
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
        (["--socket", "x", "melt"], "wrong usage; `vetchford fleet --help` tells how"),
        (
            ["--socket", "x", "--batch", "many", "start", "all"],
            "wrong usage; `vetchford fleet --help` tells how",
        ),
        (["status"], "--socket names no agent"),
    ],
)
def test_wrong_usage_is_one_line_and_exit_status_two(arguments, message, capsys):
    assert command_line.main(arguments) == 2
    assert capsys.readouterr().err == f"vetchford: {message}\n"


def test_an_agent_that_does_not_reply_is_unknown(tmp_path, capsys):
    path = str(tmp_path / "nobody")
    assert command_line.main(["--socket", path, "--json", "pause", "r1"]) == 4
    captured = capsys.readouterr()
    assert captured.err.startswith(f"vetchford: {path}: ") and captured.err.endswith(
        "what it does is unknown\n"
    )
    assert captured.out.startswith('{"unknown": ')


@pytest.mark.parametrize(
    ("words", "selected"),
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
def test_selection_on_one_agent(words, selected):
    instances = [
        instance_of_agent("n0", **PAY),
        instance_of_agent("n1", **WEB),
        instance_of_agent("m0", **PAY),
    ]
    assert select_of_agent(instances, words) == selected


@pytest.mark.parametrize(
    ("words", "selected"),
    [
        (["all"], ["n0@east", "n0@west", "n1@west"]),
        (["n0"], ["n0@east", "n0@west"]),
        (["n*@west"], ["n0@west", "n1@west"]),
        (["agent=east", "n1@west"], ["n0@east", "n1@west"]),
        (["group=web"], ["n1@west"]),
        (["label=canary"], ["n0@east", "n0@west"]),
    ],
)
def test_selection_over_a_fleet(words, selected):
    instances = {
        "n0@east": instance_of_fleet(**PAY),
        "n0@west": instance_of_fleet(**PAY),
        "n1@west": instance_of_fleet(**WEB),
    }
    assert select_of_fleet(instances, words) == selected


def answer(state, waits_for="", **steps):
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
    return Answer(rollout, {"state": state, "steps": steps})


def follower(answers, patience_s=60.0, **changed):
    """Follows a rollout whose states come from a list; an exception in it is raised."""
    replies = iter(answers)

    def find():
        reply = next(replies)
        if isinstance(reply, Exception):
            raise reply
        return reply

    options = SimpleNamespace(plain=True, patience_s=patience_s)
    return Follower("r1", options, find, poll_interval_s=0.0, unreachable_timeout_s=60.0, **changed)


def test_each_step_is_printed_once_and_the_end_with_the_killed_instances(monkeypatch, capsys):
    monkeypatch.setattr(rollout_commands, "RETRY_INTERVAL_S", 0.0)
    answers = [
        answer("running", n0="pending", n1="out"),
        UnreachableError("east.sock", "the agent is restarted"),
        answer("running", n0="out", n1="out"),
        answer("finished", n0="done", n1="done"),
    ]
    last, status = follower(answers).follow()
    assert (last["state"], status) == ("finished", ExitStatus.DONE)
    assert capsys.readouterr().out.splitlines() == [
        "n1 out",
        "n0 out",
        "n0 done",
        "n1 done",
        "change r1 finished: all done; killed at their stop time: n1",
    ]


def test_a_reason_to_wait_is_printed_when_it_changes(capsys):
    answers = [answer("running", waits_for=reason) for reason in ("floor", "floor", "", "floor")]
    answers.append(answer("paused"))
    _, status = follower(answers, reason_to_wait=lambda rollout: rollout.waits_for).follow()
    assert status == ExitStatus.FAILED
    assert capsys.readouterr().out.splitlines()[:-1] == ["waits: floor", "waits: floor"]


@pytest.mark.parametrize(("state", "status"), [("finished", 0), ("paused", 1), ("broken", 3), ("aborted", 3)])
def test_final_states_end_the_waiting_with_their_exit_status(state, status):
    assert follower([answer(state)]).follow()[1] == status


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
def test_a_refusal_is_one_line_and_exit_status_two(agent_of_no_fleet, command, capsys):
    assert command_line.main(["--socket", agent_of_no_fleet.path, *command]) == 2
    captured = capsys.readouterr()
    assert captured.err == f"vetchford: {OF_NO_FLEET}\n"
    assert captured.out == ""


def test_a_refusal_as_json_is_the_reply(agent_of_no_fleet, capsys):
    assert command_line.main(["--socket", agent_of_no_fleet.path, "--json", "wait", "r1"]) == 2
    assert json.loads(capsys.readouterr().out) == {"refused": OF_NO_FLEET}


def test_history_of_a_whole_fleet_is_refused_in_one_line(agent_of_fleet, capsys):
    assert command_line.main(["--socket", agent_of_fleet.path, "--across", "history"]) == 2
    assert capsys.readouterr().err == "vetchford: history is of single agents; leave --across out\n"
    assert agent_of_fleet.requests == []


def test_a_reply_of_another_form_is_one_line_and_exit_status_one(tmp_path, capsys):
    agent = FakeAgent(tmp_path / "agent.sock", {"instances": 3})
    assert command_line.main(["--socket", agent.path, "status"]) == 1
    assert capsys.readouterr().err.startswith("vetchford: a reply that cannot be read: TypeError")


def test_peers_are_shown_with_their_view_and_link(agent_of_fleet, capsys):
    assert command_line.main(["--socket", agent_of_fleet.path, "peers"]) == 0
    assert capsys.readouterr().out.splitlines() == [
        "east of pay, life 1: follows west",
        "PEER  VIEW   LINK  LIFE  MEMBER  VOTER  WHY",
        "west  there  up    2     yes     yes",
    ]


@pytest.mark.parametrize(
    ("command", "status", "message"),
    [
        (["peers"], 1, "vetchford: standard output was closed before all of it was written\n"),
        (["--patience", "30", "watch"], 0, ""),  # an operator's way to end it
    ],
)
def test_a_reader_of_the_output_that_is_gone_ends_the_command(command, status, message, agent_of_fleet):
    agent_of_fleet.reply |= {"instances": {}, "unknown": ["west"], "spans": []}  # what `watch` reads
    reader, writer = os.pipe()
    os.close(reader)
    tool = [sys.executable, "-m", "vetchford", "fleet", "--socket", agent_of_fleet.path, *command]
    try:
        ran = subprocess.run(tool, cwd=ROOT, stdout=writer, stderr=subprocess.PIPE, text=True, timeout=60)
    finally:
        os.close(writer)
    assert (ran.returncode, ran.stderr) == (status, message)


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
def test_requests_on_the_socket_keep_their_bytes(agent_of_no_fleet, arguments, request_line):
    command_line.main(["--socket", agent_of_no_fleet.path, *arguments])
    assert agent_of_no_fleet.requests == [request_line]


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
    of_fleet = encode(fleet_request(FleetSubmitRequest(encode(rollout))))
    assert json.dumps(of_fleet) == (
        '{"ask": "across", "request": {"ask": "span", "change": {' + fields + "}}}"
    )


def test_a_refusal_in_a_reply_is_raised():
    with pytest.raises(RefusedError, match="no change r1"):
        decode_answer({"refused": "no change r1"}, lambda encoded: encoded)


def test_patience_that_has_run_out_is_one_line_and_exit_status_one(capsys):
    assert follower([answer("running")], patience_s=-1.0).follow()[1] == ExitStatus.FAILED
    assert capsys.readouterr().err == "vetchford: change r1 is still running\n"
