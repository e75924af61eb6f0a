"""Commands over single agents, one after the other."""

import json
import time

from vetchford.fleet.agent_client import DEFAULT_TIMEOUT, Answer, UnreachableError, ask, ask_all
from vetchford.fleet.agent_messages import RequestKind
from vetchford.fleet.commands.exit_status import ExitStatus
from vetchford.fleet.commands.options import CONTROL_COMMANDS, Command, Options
from vetchford.fleet.commands.output import print_columns, print_error, print_json, report_refusal
from vetchford.fleet.commands.rollout_commands import (
    Follower,
    new_rollout_id,
    report_submission,
    rollout_fields,
)
from vetchford.fleet.commands.selection import select_of_agent

STATUS_TIMEOUT = 3.0  # s: an agent that is frozen is shown as unknown by then
POLL_INTERVAL = 0.1  # s between two looks at a rollout
WAIT_COMMAND = "vetchford fleet wait"


def run(options: Options) -> ExitStatus:
    """Carry out a command of the named agents; return the exit status."""
    if options.command == Command.STATUS:
        return show_status(options)
    id = options.rollout_id or options.requested_id or new_rollout_id()
    answers: dict[str, Answer] = {}
    worst = ExitStatus.DONE
    for path in options.sockets:
        try:
            answers[path], status = run_on_agent(path, options, id)
        except UnreachableError as problem:
            print_error(f"{problem}; what it does is unknown")
            answers[path], status = {"unknown": str(problem)}, ExitStatus.UNKNOWN
        worst = max(worst, status)
        if status == ExitStatus.UNKNOWN:
            break  # how many of its instances serve is not known
        if status != ExitStatus.DONE and options.select:
            break  # what went wrong on one machine is not carried to the next
    if options.json:
        print_json(answers)
    return worst


def run_on_agent(path: str, options: Options, id: str) -> tuple[Answer, ExitStatus]:
    """Carry out a command of one agent. Raises UnreachableError."""
    if options.command == Command.HISTORY:
        return show_history(path, options)
    if options.command == Command.EXPLAIN:
        return explain(path, options)
    if options.command in CONTROL_COMMANDS:
        return control(path, options, id)
    if options.command == Command.WAIT:
        return follow(path, options, id)
    return begin(path, options, id)


def show_history(path: str, options: Options) -> tuple[Answer, ExitStatus]:
    """Print the newest records of an agent's store."""
    answer = ask(path, {"ask": RequestKind.HISTORY})
    for entry in answer["history"] if options.plain else ():
        at = time.strftime("%H:%M:%S", time.localtime(entry["at"]))
        print(at, entry["kind"], entry["name"], json.dumps(entry["body"]))
    return answer, ExitStatus.DONE


def explain(path: str, options: Options) -> tuple[Answer, ExitStatus]:
    """Print why an instance is in its state."""
    answer = ask(path, {"ask": RequestKind.EXPLAIN, "name": options.instance})
    if options.plain and "said" in answer:
        print(answer["said"])
    return answer, report_refusal(answer)


def control(path: str, options: Options, id: str) -> tuple[Answer, ExitStatus]:
    """Pause, resume or abort a rollout."""
    answer = ask(path, {"ask": options.command, "id": id})
    if options.plain and "state" in answer:
        print(f"change {id} is {answer['state']}")
    return answer, report_refusal(answer)


def begin(path: str, options: Options, id: str) -> tuple[Answer, ExitStatus]:
    """Begin a rollout, and wait for its end unless the operator does not want to."""
    status = ask(path, {"ask": RequestKind.STATUS})
    targets = select_of_agent(status["instances"], options.select)
    request = {"ask": RequestKind.ROLLOUT, **rollout_fields(options, id, targets)}
    if options.dry_run:
        request["dry_run"] = True
    answer = ask(path, request)
    if "refused" in answer or options.dry_run or options.no_wait:
        return answer, report_submission(options, id, answer, WAIT_COMMAND)
    return follow(path, options, id)


def follow(path: str, options: Options, id: str) -> tuple[Answer, ExitStatus]:
    """Wait for the end of a rollout."""
    return Follower(
        id,
        options,
        find=lambda: ask(path, {"ask": RequestKind.FIND, "id": id}),
        poll_interval=POLL_INTERVAL,
        unreachable_timeout=DEFAULT_TIMEOUT,
    ).follow()


def show_status(options: Options) -> ExitStatus:
    """Print the instances of the named agents; all agents are asked at once."""
    answers = ask_all(options.sockets, {"ask": RequestKind.STATUS}, STATUS_TIMEOUT)
    worst = ExitStatus.DONE
    for answer in answers.values():
        if "unknown" in answer:
            print_error(f"{answer['unknown']}; what it does is unknown")
            worst = ExitStatus.UNKNOWN
            continue
        if options.select:
            names = set(select_of_agent(answer["instances"], options.select))
            answer["instances"] = [one for one in answer["instances"] if one["name"] in names]
        if options.plain:
            print_columns(status_rows(answer["instances"]))
    if options.json:
        print_json(answers)
    return worst


def status_rows(instances: list[Answer]) -> list[tuple[str, ...]]:
    """Return the table of instances, with its headings."""
    rows: list[tuple[str, ...]] = [("NAME", "STATE", "VERSION", "PID", "MEMORY", "FOR", "CHANGE", "WHY")]
    for one in instances:
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
    return rows
