"""Answers on an agent's socket, and what `vetchford fleet` prints, ends with and complains of."""

import json
import re
from concurrent.futures import ThreadPoolExecutor

from golden import harness
from golden.agent_under_test import VOLATILE, AgentUnderTest

PLAIN_STATUS_CELLS = {3: "<pid>", 4: "<memory>", 5: "<time>"}  # columns that differ from run to run


def table(text):
    """Rows of `fleet status`. Rule: cells of PID, MEMORY and FOR are replaced, and with them the widths."""
    rows = [re.split(r"  +", line) for line in text.splitlines()]
    head, rest = rows[0], rows[1:]
    return [head, *([PLAIN_STATUS_CELLS.get(n, cell) for n, cell in enumerate(row)] for row in rest)]


def last_line(ran):
    """Rule: which steps are seen on the way depends on when they are looked at; the end does not."""
    return {**ran, "out": ran["out"].splitlines()[-1:]}


def beside_each_other(agent, commands):
    """Commands that change nothing."""
    with ThreadPoolExecutor(len(commands)) as pool:
        found = pool.map(lambda arguments: agent.tool(*arguments), commands.values())
        return dict(zip(commands, found, strict=True))


def end_of(agent, change, state):
    return agent.shown(agent.wait_for(change, state))


def change(id, kind, targets, **fields):
    return {"ask": "change", "id": id, "kind": kind, "targets": targets, "soak": 100.0, **fields}


def test_answers_on_the_socket(tmp_path):
    seen = {}
    with AgentUnderTest(tmp_path, ["good", "good", "hang"]) as agent:

        def ask(name, request):
            seen[name] = agent.shown(agent.ask(request))

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
        ask("change, unknown kind", change("c0a", "jump", ["n0"]))
        ask("change, unknown field", change("c0b", "start", ["n0"], colour="red"))
        ask("change, unknown instance", change("c0c", "start", ["n9"]))
        ask("change, nobody", change("c0d", "start", []))
        ask("change, batch 0", change("c0e", "start", ["n0"], batch=0))
        ask("change, on_failure", change("c0f", "start", ["n0"], on_failure="cry"))
        ask("change, no targets", {"ask": "change", "kind": "start"})
        ask("roll, unknown version", change("c0g", "roll", ["n0"], version="v9"))
        ask("history at first", {"ask": "history"})
        ask("plan of a start", change("c0h", "start", ["n0", "n1"], dry_run=True))

        agent.ask(change("c1", "start", ["n0", "n1", "n2"], batch=3))
        seen["start at its end"] = end_of(agent, "c1", "finished")
        ask("status of those that serve", {"ask": "status"})
        ask("the same again", change("c1", "start", ["n0", "n1", "n2"], batch=3))
        ask("the same id, another change", change("c1", "stop", ["n0"]))
        ask("under the floor", change("c2", "stop", ["n0"], floor=3))
        ask("roll, under the floor", change("c2", "roll", ["n0"], version="v2", floor=3))
        ask(
            "plan of a roll", change("c2", "roll", ["n0", "n1"], version="v2", batch=2, floor=1, dry_run=True)
        )

        agent.ask(change("c3", "roll", ["n2"], version="v2"))
        ask("an instance of another change", change("c4", "stop", ["n2"]))
        seen["roll with a kill"] = end_of(agent, "c3", "finished")
        agent.ask(change("c5", "roll", ["n0"], version="bad"))
        seen["roll that fails"] = end_of(agent, "c5", "paused")
        ask("abort", {"ask": "abort", "id": "c5"})
        ask("resume of one that is ended", {"ask": "resume", "id": "c5"})
        agent.ask(change("c6", "roll", ["n0"], version="1"))
        end_of(agent, "c6", "finished")
        agent.ask(change("c7", "roll", ["n0", "n1"], version="bad", on_failure="back"))
        seen["roll that goes back"] = end_of(agent, "c7", "broken")
        agent.ask(change("c8", "stop", ["n0", "n1", "n2"], batch=3))
        seen["stop"] = end_of(agent, "c8", "finished")
        ask("status at the end", {"ask": "status"})
        newest = agent.ask({"ask": "history", "most": 1})["history"]
        seen["newest of the history"] = agent.shown(newest)
        explained = agent.ask({"ask": "explain", "name": "n1"})
        seen["explain"] = [agent.shown(explained["said"]), sorted(explained), sorted(explained["history"][0])]
        agent.process.terminate()
        seen["exit status"] = agent.process.wait(harness.TIMEOUT)
    harness.compare("agent_socket", seen)


def test_commands_of_the_tool(tmp_path):
    seen = {}
    with AgentUnderTest(tmp_path, ["good", "good"]) as agent:
        seen["start"] = last_line(agent.tool("--id", "c1", "--batch", "2", "start", "all"))
        seen |= beside_each_other(
            agent,
            {
                "dry run": ("--id", "c2", "--dry-run", "--batch", "2", "roll", "--to", "v2", "n*"),
                "refused": ("--id", "c2", "stop", "--floor", "2", "label=l0"),
                "refused, json": ("--json", "--id", "c2", "stop", "--floor", "2", "group=all"),
                "nobody": ("--id", "c2", "stop", "zebra"),
            },
        )
        seen["no wait"] = agent.tool("--id", "c3", "--no-wait", "restart", "n1", soak="60000")
        harness.wait_until(
            lambda: agent.ask({"ask": "find", "id": "c3"})["steps"]["n1"] == "soaking", "n1 is back"
        )
        seen["pause"] = agent.tool("pause", "c3")
        seen["wait"] = last_line(agent.tool("wait", "c3"))
        seen["abort"] = agent.tool("abort", "c3")
        seen["unknown id"] = agent.tool("pause", "c9")
        agent.ask(change("c4", "start", ["n0", "n1"]))
        agent.wait_for("c4", "finished")
        seen["roll, json"] = agent.tool("--json", "--id", "c5", "roll", "--to", "v2", "n0")
        seen["roll that fails"] = last_line(agent.tool("--id", "c6", "roll", "--to", "bad", "n1"))
        agent.ask({"ask": "abort", "id": "c6"})
        agent.ask(change("c6b", "roll", ["n1"], version="1"))
        agent.wait_for("c6b", "finished")
        seen |= beside_each_other(agent, {"explain, unknown": ("explain", "n9"), "of no fleet": ("peers",)})
        seen["drain"] = last_line(agent.tool("--id", "c7", "drain", "n0"))
        seen |= beside_each_other(
            agent,
            {
                "status": ("status",),
                "status, json": ("--json", "status", "n0"),
                "explain": ("explain", "n0"),
                "history": ("history",),
            },
        )
        seen["status"]["out"] = table(seen["status"]["out"])
        answer = json.loads(seen["status, json"]["out"])
        seen["status, json"]["out"] = agent.rules.tree(answer, VOLATILE)
        newest = seen["history"]["out"].splitlines()[0]  # rule: the newest line, without its time
        seen["history"]["out"] = re.sub(r"^\d\d:\d\d:\d\d", "<time>", newest)
        second = harness.run("agent", "--with", str(agent.settings))
        seen["a second agent"] = [
            second.returncode,
            second.stdout,
            "another agent has it" in second.stderr,
        ]
    harness.compare("agent_tool", seen)
