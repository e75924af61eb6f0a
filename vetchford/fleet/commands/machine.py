"""vetchford fleet: many instances, over one agent or a fleet of agents.

Usage:
  vetchford fleet [options] [--socket PATH]... status [SELECT...]
  vetchford fleet [options] [--socket PATH]... watch [SELECT...]
  vetchford fleet [options] [--socket PATH]... (start | stop | drain | restart) SELECT...
  vetchford fleet [options] [--socket PATH]... roll --to VERSION SELECT...
  vetchford fleet [options] [--socket PATH]... (pause | resume | abort | wait) ID
  vetchford fleet [options] [--socket PATH]... history
  vetchford fleet [options] [--socket PATH]... explain INSTANCE
  vetchford fleet [options] [--socket PATH]... peers
  vetchford fleet [options] [--socket PATH]... (admit | dismiss) AGENT
  vetchford fleet (-h | --help)

SELECT is a name, a pattern such as 'n*', group=NAME or label=NAME; 'all' is every instance. With --across it
is also NAME@AGENT or agent=NAME, and `explain` takes a change's id. `watch`, `peers`, `admit` and `dismiss`
are of a fleet, with or without --across.

Options:
  --socket PATH      an agent's socket; several may be named, and are changed one after the other
  --across           one change over all agents of the fleet; the first named agent that answers takes it
  --by WHO           who admits or dismisses, for the record
  --to VERSION       the version to go to, as the agent's settings name it
  --id ID            the change's own id: the same command sent twice is one change
  --batch N          out at once, at most [default: 1]
  --floor N          of the groups touched, so many serve at all times [default: 0]
  --spacing MS       between two that come up [default: 0]
  --soak MS          of good checks before one counts as done [default: 2000]
  --on-failure WHAT  pause, back (undo all of it) or go_on [default: pause]
  --dry-run          show what would be changed, or why it would be refused
  --no-wait          do not wait for its end
  --patience S       how long to wait for a change [default: 600]
  --json             the answers, as one JSON object

Exit status: 0 all done, 1 failed, 2 wrong usage or refused, 3 partly done, 4 an agent can't be reached.

Examples:
  vetchford fleet --socket run/agent.sock roll --to v2 --batch 2 --floor 10 group=pay
  vetchford fleet --socket run/east.sock --across roll --to v2 --batch 3 --floor 14 'n*@east' agent=west
"""

import fnmatch
import json
import sys
import time
import uuid
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from docopt import DocoptExit, docopt

from vetchford.fleet.agent_client import (
    DONE,
    FAILED,
    REFUSED,
    STATES,
    UNKNOWN,
    WAITS,
    UnreachableError,
    ask,
    columns,
    ended,
    refused,
)

READS = 3.0  # s for what only shows: a frozen agent is told as unknown by then


def selected(instances: list[dict[str, Any]], wanted: list[str]) -> list[str]:
    out = []
    for one in instances:
        for word in wanted:
            key, _, value = word.partition("=")
            if (
                word == "all"
                or (key == "group" and one["group"] == value)
                or (key == "label" and value in one["labels"])
                or fnmatch.fnmatchcase(one["name"], word)
            ):
                out.append(one["name"])
                break
    return out


def main(argv: list[str]) -> int:
    try:
        asked = docopt(__doc__, ["fleet", *argv])
        numbers = {key: float(asked["--" + key]) for key in ("spacing", "soak", "patience")}
        counts = {key: int(asked["--" + key]) for key in ("batch", "floor")}
    except (DocoptExit, ValueError):
        return said("wrong usage; `vetchford fleet --help` tells how")
    if not asked["--socket"]:
        return said("--socket names no agent")
    out: dict[str, Any] = {}
    worst = DONE
    id = asked["ID"] or asked["--id"] or uuid.uuid4().hex[:12]
    paths = list(dict.fromkeys(asked["--socket"]))  # the options' library repeats a repeated option
    if asked["--across"] or any(asked[word] for word in ("watch", "peers", "admit", "dismiss")):
        from vetchford.fleet.commands import whole_fleet

        return whole_fleet.main(asked, paths, numbers, counts)
    if asked["status"]:
        return all_status(paths, asked)
    for path in paths:
        try:
            out[path], status = one_agent(path, asked, id, numbers, counts)
        except UnreachableError as problem:
            print(f"vetchford: {problem}; what it does is unknown", file=sys.stderr)
            out[path], status = {"unknown": str(problem)}, UNKNOWN
        worst = max(worst, status)
        if status not in (DONE, UNKNOWN) and asked["SELECT"]:
            break  # what went wrong on one machine is not carried to the next
        if status == UNKNOWN:
            break  # its floor can't be seen
    if asked["--json"]:
        print(json.dumps(out if len(out) > 1 else next(iter(out.values()))))
    return worst


def all_status(paths: list[str], asked: dict[str, Any]) -> int:
    """All at once: one that does not answer holds up no other."""

    def act(path: str) -> dict[str, Any]:
        try:
            return ask(path, {"ask": "status"}, READS)
        except UnreachableError as problem:
            return {"unknown": str(problem)}

    with ThreadPoolExecutor(len(paths)) as thread_pool:
        out = dict(zip(paths, thread_pool.map(act, paths), strict=True))
    worst = DONE
    for answer in out.values():
        if "unknown" in answer:
            print(f"vetchford: {answer['unknown']}; what it does is unknown", file=sys.stderr)
            worst = UNKNOWN
            continue
        if asked["SELECT"]:
            names = set(selected(answer["instances"], asked["SELECT"]))
            answer["instances"] = [one for one in answer["instances"] if one["name"] in names]
        if not asked["--json"]:
            table(answer)
    if asked["--json"]:
        print(json.dumps(out if len(out) > 1 else next(iter(out.values()))))
    return worst


def one_agent(
    path: str, asked: dict[str, Any], id: str, numbers: dict[str, float], counts: dict[str, int]
) -> tuple[dict[str, Any], int]:
    plain = not asked["--json"]
    if asked["history"]:
        answer = ask(path, {"ask": "history"})
        for entry in answer["history"] if plain else ():
            at = time.strftime("%H:%M:%S", time.localtime(entry["at"]))
            print(at, entry["kind"], entry["name"], json.dumps(entry["body"]))
        return answer, DONE
    if asked["explain"]:
        answer = ask(path, {"ask": "explain", "name": asked["INSTANCE"]})
        if plain and "said" in answer:
            print(answer["said"])
        return answer, refused(answer)
    for word in ("pause", "resume", "abort"):
        if asked[word]:
            answer = ask(path, {"ask": word, "id": id})
            if plain and "state" in answer:
                print(f"change {id} is {answer['state']}")
            return answer, refused(answer)
    if asked["wait"]:
        return follow(path, id, plain, numbers["patience"])
    names = selected(ask(path, {"ask": "status"})["instances"], asked["SELECT"])
    kind = next(word for word in ("start", "stop", "drain", "restart", "roll") if asked[word])
    request = {
        "ask": "change",
        "id": id,
        "kind": "stop" if kind == "drain" else kind,
        "targets": names,
        "version": asked["--to"] or "",
        "spacing": numbers["spacing"],
        "soak": numbers["soak"],
        "on_failure": asked["--on-failure"],
        **counts,
    }
    answer = ask(path, {**request, "dry_run": True} if asked["--dry-run"] else request)
    if "refused" in answer or asked["--dry-run"] or asked["--no-wait"]:
        if plain and "plan" in answer:
            print(f"would {kind}, {answer['batch']} at once: {', '.join(answer['plan'])}")
        elif plain and "id" in answer:
            print(f"change {id} has begun; `vetchford fleet wait {id}` follows it")
        return answer, refused(answer)
    return follow(path, id, plain, numbers["patience"])


def follow(path: str, id: str, plain: bool, patience: float) -> tuple[dict[str, Any], int]:
    """Waits for the change's end; an agent that is restarted meanwhile is asked again."""
    until, before, away = time.monotonic() + patience, {}, 0.0
    while True:
        try:
            answer = ask(path, {"ask": "find", "id": id})
            away = 0.0
        except UnreachableError:
            away = away or time.monotonic()
            if time.monotonic() - away > WAITS:
                raise
            time.sleep(0.2)
            continue
        if "refused" in answer:
            return answer, refused(answer)
        for name, step in answer["steps"].items():
            if plain and before.get(name) != step and step != "pending":
                print(f"{name} {step}", flush=True)
        before = answer["steps"]
        if answer["state"] in STATES:
            return answer, ended(id, answer, plain)
        if time.monotonic() > until:
            print(f"vetchford: change {id} is still {answer['state']}", file=sys.stderr)
            return answer, FAILED
        time.sleep(0.1)


def table(answer: dict[str, Any]) -> None:
    rows = [("NAME", "STATE", "VERSION", "PID", "MEMORY", "FOR", "CHANGE", "WHY")]
    for one in answer["instances"]:
        rows.append(
            (
                one["name"],
                one["state"],
                one["version"],
                str(one["pid"] or "-"),
                f"{one['memory_kb'] // 1024}M",
                f"{one['for_ms'] / 1000:.0f}s",
                one["change"] or "-",
                one["why"],
            )
        )
    columns(rows)


def said(text: str) -> int:
    print(f"vetchford: {text}", file=sys.stderr)
    return REFUSED
