"""The tool's commands over a whole fleet: any agent takes them, the first that answers is asked."""

import fnmatch
import json
import sys
import time
import uuid
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from vetchford.fleet.agent_client import (
    DONE,
    FAILED,
    REFUSED,
    STATES,
    UNKNOWN,
    UnreachableError,
    ask,
    columns,
    ended,
    refused,
)

Answer = dict[str, Any]
AWAY = 30.0  # s without any agent until waiting is given up: a driver is replaced within ten
TURN = 0.2  # s between two looks


class Asked:
    """The agents that were named; goes on with the next where one does not answer."""

    def __init__(self, paths: list[str]) -> None:
        self.paths = paths

    def ask(self, request: Answer) -> Answer:
        problems = []
        for path in list(self.paths):
            try:
                answer = ask(path, {"ask": "across", "request": request})
            except UnreachableError as problem:
                problems.append(str(problem))
                self.paths = [
                    *(other for other in self.paths if other != path),
                    path,
                ]  # the next time others first
                continue
            return answer
        raise UnreachableError("; ".join(problems))


def selected(instances: dict[str, Answer], wanted: list[str]) -> list[str]:
    """Keys of "NAME@AGENT"; a word is such a key or a pattern of one, a name, agent=, group=, label= or
    all.
    """
    out = []
    for key, one in instances.items():
        name, _, agent = key.rpartition("@")
        for word in wanted:
            kind, _, value = word.partition("=")
            if (
                word == "all"
                or (kind == "agent" and agent == value)
                or (kind == "group" and one["group"] == value)
                or (kind == "label" and value in one["labels"])
                or fnmatch.fnmatchcase(key if "@" in word else name, word)
            ):
                out.append(key)
                break
    return out


def main(asked: dict[str, Any], paths: list[str], numbers: dict[str, float], counts: dict[str, int]) -> int:
    agents, plain = Asked(paths), not asked["--json"]
    try:
        if asked["peers"]:
            return peers(paths, plain)
        if asked["status"] or asked["watch"]:
            return status(agents, asked, plain)
        answer, code = one(agents, asked, plain, numbers, counts)
    except UnreachableError as problem:
        print(f"vetchford: {problem}; what they do is unknown", file=sys.stderr)
        answer, code = {"unknown": str(problem)}, UNKNOWN
    if not plain:
        print(json.dumps(answer))
    return code


def one(
    agents: Asked, asked: dict[str, Any], plain: bool, numbers: dict[str, float], counts: dict[str, int]
) -> tuple[Answer, int]:
    for word in ("pause", "resume", "abort"):
        if asked[word]:
            answer = agents.ask({"ask": word, "id": asked["ID"]})
            if plain and "state" in answer:
                seen = (
                    f"; {answer['driver']} drives"
                    if answer["driver"]
                    else "; nobody that drives is seen from there"
                )
                print(f"change {answer['id']} is {answer['state']} for {answer['obeyed_by']}{seen}")
            return answer, refused(answer)
    for word in ("admit", "dismiss"):
        if asked[word]:
            answer = agents.ask({"ask": word, "name": asked["AGENT"], "by": asked["--by"] or "the tool"})
            if plain and "members" in answer:
                print(f"agents of the fleet: {', '.join(answer['members'])}")
            return answer, refused(answer)
    if asked["explain"]:
        answer = agents.ask({"ask": "find", "id": asked["INSTANCE"]})
        if plain and "state" in answer:
            explain(answer)
        return answer, refused(answer)
    if asked["wait"]:
        return follow(agents, asked["ID"], plain, numbers["patience"])
    id = asked["--id"] or uuid.uuid4().hex[:12]
    known = agents.ask({"ask": "find", "id": id}) if asked["--id"] else {"refused": ""}
    if "refused" in known:
        names = selected(agents.ask({"ask": "all"})["instances"], asked["SELECT"])
    else:
        names = list(known["steps"])  # the same command again: what it names may not be seen just now
    kind = next(word for word in ("start", "stop", "drain", "restart", "roll") if asked[word])
    change = {
        "id": id,
        "kind": "stop" if kind == "drain" else kind,
        "targets": names,
        "version": asked["--to"] or "",
        "spacing": numbers["spacing"],
        "soak": numbers["soak"],
        "on_failure": asked["--on-failure"],
        **counts,
    }
    answer = agents.ask({"ask": "plan" if asked["--dry-run"] else "span", "change": change})
    if "refused" in answer or asked["--dry-run"] or asked["--no-wait"]:
        if plain and "plan" in answer:
            print(f"would {kind}, {answer['batch']} at once: {', '.join(answer['plan'])}")
        elif plain and "id" in answer:
            print(f"change {id} has begun; `vetchford fleet --across wait {id}` follows it")
        return answer, refused(answer)
    return follow(agents, id, plain, numbers["patience"])


def follow(agents: Asked, id: str, plain: bool, patience: float) -> tuple[Answer, int]:
    """Waits for the change's end, whoever drives it and whichever agent answers."""
    until, before, said, away = time.monotonic() + patience, {}, "", 0.0
    while True:
        try:
            answer = agents.ask({"ask": "find", "id": id})
            away = 0.0
        except UnreachableError:
            away = away or time.monotonic()
            if time.monotonic() - away > AWAY:
                raise
            time.sleep(TURN)
            continue
        if "refused" in answer:
            return answer, refused(answer)
        for key, step in answer["steps"].items():
            if plain and before.get(key) != step and step != "pending":
                print(f"{key} {step}", flush=True)
        before = answer["steps"]
        waits = answer["waits"] or (
            "" if answer["driver"] else f"nobody that drives is seen from {answer['told_by']}"
        )
        if plain and waits and waits != said:
            print(f"waits: {waits}", flush=True)
        said = waits
        if answer["state"] in STATES:
            return answer, ended(id, answer, plain)
        if time.monotonic() > until:
            print(f"vetchford: change {id} is still {answer['state']}", file=sys.stderr)
            return answer, FAILED
        time.sleep(TURN)


def explain(answer: Answer) -> None:
    steps: dict[str, list[str]] = {}
    for key, step in answer["steps"].items():
        steps.setdefault(step, []).append(key)
    print(
        f"change {answer['id']} ({answer['kind']}, batch {answer['batch']}, floor {answer['floor']}) "
        f"is {answer['state']}{': ' + answer['why'] if answer['why'] else ''}"
    )
    for step, keys in sorted(steps.items()):
        print(f"  {step}: {', '.join(keys)}")
    if answer["waits"]:
        print(f"  waits: {answer['waits']}")
    heard = (
        f"heard of {answer['driver_heard_ms'] / 1000:.1f} s ago"
        if answer["driver_heard_ms"]
        else "asked itself"
    )
    print(
        f"  driven by {answer['driver'] or 'nobody that is seen'} ({heard}), "
        f"record {answer['term']}.{answer['revision']} as {answer['told_by']} holds it"
    )


def peers(paths: list[str], plain: bool) -> int:
    """What each named agent sees of the others; all are asked at once."""

    def act(path: str) -> Answer:
        try:
            return ask(path, {"ask": "across", "request": {"ask": "peers"}})
        except UnreachableError as problem:
            return {"unknown": str(problem)}

    with ThreadPoolExecutor(len(paths)) as thread_pool:
        answers = dict(zip(paths, thread_pool.map(act, paths), strict=True))
    code = DONE
    for answer in answers.values():
        if "unknown" in answer or "refused" in answer:
            said = answer.get("refused") or f"{answer['unknown']}; what it sees is unknown"
            print(f"vetchford: {said}", file=sys.stderr)
            code = max(code, REFUSED if "refused" in answer else UNKNOWN)
        elif plain:
            book = answer["book"]
            whom = book["driver"] if book["role"] == "follows" else ""
            part = f"{book['role']} {whom}".rstrip()
            votes = "" if book["counted"] else "; its word does not count until it is listed anew"
            print(f"{answer['name']} of {answer['fleet']}, life {answer['life']}: {part}{votes}")
            rows = [("PEER", "VIEW", "LINK", "LIFE", "MEMBER", "VOTER", "WHY")]
            for row in answer["peers"]:
                rows.append(
                    (
                        row["name"],
                        row["view"],
                        row["link"],
                        str(row["life"]),
                        "yes" if row["member"] else "no",
                        "yes" if row["voter"] else "no",
                        row["why"],
                    )
                )
            columns(rows)
    if not plain:
        print(json.dumps(answers if len(answers) > 1 else next(iter(answers.values()))))
    return code


def rows_of(answer: Answer, wanted: list[str]) -> list[tuple[str, ...]]:
    keys = selected(answer["instances"], wanted or ["all"])
    rows = [("NAME", "STATE", "VERSION", "CHANGE", "WHY")]
    for key in keys:
        one = answer["instances"][key]
        rows.append((key, one["state"], one["version"], one["change"] or "-", one["why"]))
    rows += [(f"*@{agent}", "unknown", "-", "-", "its agent is not seen") for agent in answer["unknown"]]
    return rows


def status(agents: Asked, asked: dict[str, Any], plain: bool) -> int:
    if asked["watch"]:
        return watch(agents, asked["SELECT"], float(asked["--patience"]))
    answer = agents.ask({"ask": "all"})
    if "refused" in answer:
        return refused(answer)
    if plain:
        columns(rows_of(answer, asked["SELECT"]))
        for span in answer["spans"]:
            if span["state"] in ("running", "paused"):
                waits = f"; waits: {span['waits']}" if span["waits"] else ""
                print(
                    f"change {span['id']} ({span['kind']}) is {span['state']} {span['why']}{waits}".rstrip()
                )
    else:
        keys = set(selected(answer["instances"], asked["SELECT"] or ["all"]))
        answer["instances"] = {key: one for key, one in answer["instances"].items() if key in keys}
        print(json.dumps(answer))
    return UNKNOWN if answer["unknown"] else DONE


def watch(agents: Asked, wanted: list[str], patience: float) -> int:
    """On a terminal a live table; into a pipe a line for each thing that becomes another."""
    from blessed import Terminal  # only here: no other command draws

    terminal, until = Terminal(), time.monotonic() + patience

    def look() -> list[tuple[str, ...]]:
        try:
            answer = agents.ask({"ask": "all"})
        except UnreachableError as problem:
            return [("NAME", "STATE", "VERSION", "CHANGE", "WHY"), ("*", "unknown", "-", "-", str(problem))]
        return rows_of(answer, wanted)

    try:
        if terminal.is_a_tty:
            with terminal.fullscreen(), terminal.hidden_cursor():
                while time.monotonic() < until:
                    lines: list[str] = []
                    columns(look(), lines.append)
                    height, width = terminal.height or 24, terminal.width or 80  # some tell neither
                    for at, line in enumerate(lines[: height - 1]):
                        shown = line[:width]
                        print(terminal.move_xy(0, at) + (terminal.bold(shown) if at == 0 else shown), end="")
                        print(terminal.clear_eol, end="")
                    print(terminal.clear_eos, end="", flush=True)
                    time.sleep(TURN * 2)
            return DONE
        before: dict[str, tuple[str, ...]] = {}
        while time.monotonic() < until:
            now = {row[0]: row for row in look()[1:]}
            for key, row in now.items():
                if before.get(key, ())[:4] != row[:4]:
                    print(" ".join((time.strftime("%H:%M:%S"), *row)).rstrip(), flush=True)
            before = now
            time.sleep(TURN * 2)
    except (KeyboardInterrupt, BrokenPipeError):
        return DONE
    return DONE


__all__ = ["DONE", "FAILED", "REFUSED", "UNKNOWN", "main", "selected"]
