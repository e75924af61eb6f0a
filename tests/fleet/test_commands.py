"""Commands of the tool that need no agent: usage, selection, and what is said while a rollout is followed."""

from types import SimpleNamespace

import pytest

from vetchford.fleet.agent_client import UnreachableError
from vetchford.fleet.commands import command_line, rollout_commands
from vetchford.fleet.commands.exit_status import ExitStatus
from vetchford.fleet.commands.rollout_commands import Follower
from vetchford.fleet.commands.selection import select_of_agent, select_of_fleet

PAY, WEB = {"group": "pay", "labels": ["canary"]}, {"group": "web", "labels": []}


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
    instances = [{"name": "n0", **PAY}, {"name": "n1", **WEB}, {"name": "m0", **PAY}]
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
    instances = {"n0@east": PAY, "n0@west": PAY, "n1@west": WEB}
    assert select_of_fleet(instances, words) == selected


def answer(state, **steps):
    return {"state": state, "steps": steps, "why": "all done", "killed": ["n1"], "waits": ""}


def follower(answers, patience=60.0, **changed):
    """Follows a rollout whose states come from a list; an exception in it is raised."""
    replies = iter(answers)

    def find():
        reply = next(replies)
        if isinstance(reply, Exception):
            raise reply
        return reply

    options = SimpleNamespace(plain=True, patience=patience)
    return Follower("r1", options, find, poll_interval=0.0, unreachable_timeout=60.0, **changed)


def test_each_step_is_said_once_and_the_end_with_those_that_were_killed(monkeypatch, capsys):
    monkeypatch.setattr(rollout_commands, "RETRY_INTERVAL", 0.0)
    answers = [
        answer("running", n0="pending", n1="out"),
        UnreachableError("the agent is restarted"),
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


def test_a_reason_to_wait_is_said_when_it_changes(capsys):
    answers = [{**answer("running"), "waits": reason} for reason in ("floor", "floor", "", "floor")]
    answers.append(answer("paused"))
    _, status = follower(answers, reason_to_wait=lambda reply: reply["waits"]).follow()
    assert status == ExitStatus.FAILED
    assert capsys.readouterr().out.splitlines()[:-1] == ["waits: floor", "waits: floor"]


@pytest.mark.parametrize(("state", "status"), [("finished", 0), ("paused", 1), ("broken", 3), ("aborted", 3)])
def test_states_that_end_the_waiting(state, status):
    assert follower([answer(state)]).follow()[1] == status


def test_a_refusal_and_an_end_of_patience(capsys):
    assert follower([{"refused": "no change r1"}]).follow()[1] == ExitStatus.REFUSED
    assert follower([answer("running")], patience=-1.0).follow()[1] == ExitStatus.FAILED
    assert capsys.readouterr().err == "vetchford: no change r1\nvetchford: change r1 is still running\n"
