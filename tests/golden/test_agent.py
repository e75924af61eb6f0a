"""Replies on an agent's socket, and output, error lines and exit status of `vetchford fleet`."""

import json
import re
from concurrent.futures import ThreadPoolExecutor

from golden import harness
from golden.agent_under_test import VOLATILE, AgentUnderTest

VARIABLE_STATUS_CELLS = {3: "<pid>", 4: "<memory>", 5: "<time>"}  # columns whose values differ between runs


def status_rows(text):
    """Return the rows of `fleet status` without widths, and with PID, MEMORY and FOR replaced."""
    rows = [re.split(r"  +", line) for line in text.splitlines()]
    header, instance_rows = rows[0], rows[1:]
    return [
        header,
        *([VARIABLE_STATUS_CELLS.get(n, cell) for n, cell in enumerate(row)] for row in instance_rows),
    ]


def with_last_line(result):
    """Keep the last output line; the progress lines before it depend on timing."""
    return {**result, "out": result["out"].splitlines()[-1:]}


def run_in_parallel(agent, commands):
    """Run commands that change nothing and return their results by name."""
    with ThreadPoolExecutor(len(commands)) as pool:
        results = pool.map(lambda arguments: agent.run_command(*arguments), commands.values())
        return dict(zip(commands, results, strict=True))


def final_record(agent, rollout_id, state):
    return agent.normalise(agent.wait_for(rollout_id, state))


def rollout_request(id, kind, targets, **fields):
    return {"ask": "change", "id": id, "kind": kind, "targets": targets, "soak": 100.0, **fields}


def test_answers_on_the_socket(tmp_path):
    seen = {}
    with AgentUnderTest(tmp_path, ["good", "good", "hang"]) as agent:

        def ask(name, request):
            seen[name] = agent.normalise(agent.ask(request))

        ask("status at first", {"ask": "status"})
        ask("not JSON", b"{\n")
        ask("no object", [1])
        ask("no ask", {})
        ask("unknown ask", {"ask": "sing"})
        ask("an agent of no fleet", {"ask": "across", "request": {"ask": "peers"}})
        ask("find, unknown", {"ask": "find", "id": "none"})
        ask("find, no id", {"ask": "find"})
        ask("pause, unknown", {"ask": "pause", "id": "none"})
        ask("resume, unknown", {"ask": "resume", "id": "none"})
        ask("abort, unknown", {"ask": "abort", "id": "none"})
        ask("explain, unknown", {"ask": "explain", "name": "n9"})
        ask("change, unknown kind", rollout_request("c0a", "jump", ["n0"]))
        ask("change, unknown field", rollout_request("c0b", "start", ["n0"], colour="red"))
        ask("change, unknown instance", rollout_request("c0c", "start", ["n9"]))
        ask("change, nobody", rollout_request("c0d", "start", []))
        ask("change, batch 0", rollout_request("c0e", "start", ["n0"], batch=0))
        ask("change, on_failure", rollout_request("c0f", "start", ["n0"], on_failure="cry"))
        ask("change, no targets", {"ask": "change", "kind": "start"})
        ask("roll, unknown version", rollout_request("c0g", "roll", ["n0"], version="v9"))
        ask("history at first", {"ask": "history"})
        ask("plan of a start", rollout_request("c0h", "start", ["n0", "n1"], dry_run=True))

        agent.ask(rollout_request("c1", "start", ["n0", "n1", "n2"], batch=3))
        seen["start at its end"] = final_record(agent, "c1", "finished")
        ask("status of those that serve", {"ask": "status"})
        ask("the same again", rollout_request("c1", "start", ["n0", "n1", "n2"], batch=3))
        ask("the same id, another change", rollout_request("c1", "stop", ["n0"]))
        ask("under the floor", rollout_request("c2", "stop", ["n0"], floor=3))
        ask("roll, under the floor", rollout_request("c2", "roll", ["n0"], version="v2", floor=3))
        ask(
            "plan of a roll",
            rollout_request("c2", "roll", ["n0", "n1"], version="v2", batch=2, floor=1, dry_run=True),
        )

        agent.ask(rollout_request("c3", "roll", ["n2"], version="v2"))
        ask("an instance of another change", rollout_request("c4", "stop", ["n2"]))
        seen["roll with a kill"] = final_record(agent, "c3", "finished")
        agent.ask(rollout_request("c5", "roll", ["n0"], version="bad"))
        seen["roll that fails"] = final_record(agent, "c5", "paused")
        ask("abort", {"ask": "abort", "id": "c5"})
        ask("resume of one that is ended", {"ask": "resume", "id": "c5"})
        agent.ask(rollout_request("c6", "roll", ["n0"], version="1"))
        final_record(agent, "c6", "finished")
        agent.ask(rollout_request("c7", "roll", ["n0", "n1"], version="bad", on_failure="back"))
        seen["roll that goes back"] = final_record(agent, "c7", "broken")
        agent.ask(rollout_request("c8", "stop", ["n0", "n1", "n2"], batch=3))
        seen["stop"] = final_record(agent, "c8", "finished")
        ask("status at the end", {"ask": "status"})
        newest = agent.ask({"ask": "history", "most": 1})["history"]
        seen["newest of the history"] = agent.normalise(newest)
        explained = agent.ask({"ask": "explain", "name": "n1"})
        seen["explain"] = [
            agent.normalise(explained["said"]),
            sorted(explained),
            sorted(explained["history"][0]),
        ]
        agent.process.terminate()
        seen["exit status"] = agent.process.wait(harness.TIMEOUT_S)
    harness.compare("agent_socket", seen)


def test_commands_of_the_tool(tmp_path):
    seen = {}
    with AgentUnderTest(tmp_path, ["good", "good"]) as agent:
        seen["start"] = with_last_line(agent.run_command("--id", "c1", "--batch", "2", "start", "all"))
        seen |= run_in_parallel(
            agent,
            {
                "dry run": ("--id", "c2", "--dry-run", "--batch", "2", "roll", "--to", "v2", "n*"),
                "refused": ("--id", "c2", "stop", "--floor", "2", "label=l0"),
                "refused, json": ("--json", "--id", "c2", "stop", "--floor", "2", "group=all"),
                "nobody": ("--id", "c2", "stop", "zebra"),
            },
        )
        seen["no wait"] = agent.run_command("--id", "c3", "--no-wait", "restart", "n1", soak="60000")
        harness.wait_until(
            lambda: agent.ask({"ask": "find", "id": "c3"})["steps"]["n1"] == "soaking", "n1 is back"
        )
        seen["pause"] = agent.run_command("pause", "c3")
        seen["wait"] = with_last_line(agent.run_command("wait", "c3"))
        seen["abort"] = agent.run_command("abort", "c3")
        seen["unknown id"] = agent.run_command("pause", "c9")
        agent.ask(rollout_request("c4", "start", ["n0", "n1"]))
        agent.wait_for("c4", "finished")
        seen["roll, json"] = agent.run_command("--json", "--id", "c5", "roll", "--to", "v2", "n0")
        seen["roll that fails"] = with_last_line(agent.run_command("--id", "c6", "roll", "--to", "bad", "n1"))
        agent.ask({"ask": "abort", "id": "c6"})
        agent.ask(rollout_request("c6b", "roll", ["n1"], version="1"))
        agent.wait_for("c6b", "finished")
        seen |= run_in_parallel(agent, {"explain, unknown": ("explain", "n9"), "of no fleet": ("peers",)})
        seen["drain"] = with_last_line(agent.run_command("--id", "c7", "drain", "n0"))
        seen |= run_in_parallel(
            agent,
            {
                "status": ("status",),
                "status, json": ("--json", "status", "n0"),
                "explain": ("explain", "n0"),
                "history": ("history",),
            },
        )
        seen["status"]["out"] = status_rows(seen["status"]["out"])
        status = json.loads(seen["status, json"]["out"])
        seen["status, json"]["out"] = agent.rules.tree(status, VOLATILE)
        newest = seen["history"]["out"].splitlines()[0]  # the newest entry, without its time
        seen["history"]["out"] = re.sub(r"^\d\d:\d\d:\d\d", "<time>", newest)
        second = harness.run("agent", "--with", str(agent.settings))
        seen["a second agent"] = [
            second.returncode,
            second.stdout,
            "another agent has it" in second.stderr,
        ]
    harness.compare("agent_tool", seen)
