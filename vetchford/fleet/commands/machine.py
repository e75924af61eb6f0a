"""Commands over single agents, one after the other."""

import json
import time

from vetchford.fleet.agent_client import (
    DEFAULT_TIMEOUT_S,
    AgentClient,
    Answer,
    UnreachableError,
    ask_all,
    decode_answer,
)
from vetchford.fleet.agent_messages import (
    EncodedReply,
    InstanceStatus,
    StatusReply,
    StatusRequest,
    decode_status,
)
from vetchford.fleet.commands.exit_status import ExitStatus
from vetchford.fleet.commands.options import CONTROL_COMMANDS, Command, Options
from vetchford.fleet.commands.output import (
    CommandResult,
    print_columns,
    print_json,
    report_refusal,
    report_unreachable,
)
from vetchford.fleet.commands.rollout_commands import (
    CONTROL_REQUESTS,
    Follower,
    new_rollout_id,
    report_plan,
    report_submission,
    rollout_request,
)
from vetchford.fleet.commands.selection import select_of_agent
from vetchford.fleet.rollout import RefusedError

STATUS_TIMEOUT_S = 3.0  # an agent that is frozen is shown as unknown by then
POLL_INTERVAL_S = 0.1  # between two looks at a rollout
WAIT_COMMAND = "vetchford fleet wait"
STATE_UNKNOWN = "what it does is unknown"
STATUS_HEADINGS = ("NAME", "STATE", "VERSION", "PID", "MEMORY", "FOR", "CHANGE", "WHY")


def run(options: Options) -> ExitStatus:
    """Carry out a command of the named agents; return the exit status."""
    if options.command == Command.STATUS:
        return show_status(options)
    id = options.rollout_id or options.requested_id or new_rollout_id()
    answers: dict[str, EncodedReply] = {}
    worst = ExitStatus.DONE
    for path in options.sockets:
        answers[path], status = run_or_report(path, options, id)
        worst = max(worst, status)
        if status == ExitStatus.UNKNOWN:
            break  # how many of its instances serve is not known
        if status != ExitStatus.DONE and options.select:
            break  # what went wrong on one machine is not carried to the next
    if options.json:
        print_json(answers)
    return worst


def run_or_report(path: str, options: Options, id: str) -> CommandResult:
    """Carry out a command of one agent; say so if it refuses or does not reply."""
    try:
        return run_on_agent(AgentClient(path), options, id)
    except RefusedError as problem:
        return report_refusal(problem)
    except UnreachableError as problem:
        return report_unreachable(problem, STATE_UNKNOWN)


def run_on_agent(client: AgentClient, options: Options, id: str) -> CommandResult:
    """Carry out a command of one agent. Raises UnreachableError, RefusedError."""
    if options.command == Command.HISTORY:
        return show_history(client, options)
    if options.command == Command.EXPLAIN:
        return explain(client, options)
    if options.command in CONTROL_COMMANDS:
        return control(client, options, id)
    if options.command == Command.WAIT:
        return follow(client, options, id)
    return begin(client, options, id)


def show_history(client: AgentClient, options: Options) -> CommandResult:
    """Print the newest records of an agent's store."""
    answer = client.history()
    if options.plain:
        for entry in answer.reply.entries:
            at = time.strftime("%H:%M:%S", time.localtime(entry.at_s))
            print(at, entry.kind, entry.name, json.dumps(entry.body))
    return CommandResult(answer.encoded, ExitStatus.DONE)


def explain(client: AgentClient, options: Options) -> CommandResult:
    """Print why an instance is in its state."""
    answer = client.explain(options.instance)
    if options.plain:
        print(answer.reply.explanation)
    return CommandResult(answer.encoded, ExitStatus.DONE)


def control(client: AgentClient, options: Options, id: str) -> CommandResult:
    """Pause, resume or abort a rollout."""
    answer = client.control(CONTROL_REQUESTS[options.command](id))
    if options.plain:
        print(f"change {id} is {answer.reply.state}")
    return CommandResult(answer.encoded, ExitStatus.DONE)


def begin(client: AgentClient, options: Options, id: str) -> CommandResult:
    """Begin a rollout, and wait for its end unless the operator does not want to."""
    targets = select_of_agent(client.status().reply.instances, options.select)
    rollout = rollout_request(options, id, targets)
    if options.dry_run:
        return report_plan(options, client.plan(rollout))
    answer = client.submit(rollout)
    if options.no_wait:
        return report_submission(options, id, answer, WAIT_COMMAND)
    return follow(client, options, id)


def follow(client: AgentClient, options: Options, id: str) -> CommandResult:
    """Wait for the end of a rollout."""
    return Follower(
        id,
        options,
        find=lambda: client.find(id),
        poll_interval_s=POLL_INTERVAL_S,
        unreachable_timeout_s=DEFAULT_TIMEOUT_S,
    ).follow()


def show_status(options: Options) -> ExitStatus:
    """Print the instances of the named agents; all agents are asked at once."""
    answers: dict[str, EncodedReply] = {}
    worst = ExitStatus.DONE
    for path, encoded in ask_all(options.sockets, StatusRequest(), STATUS_TIMEOUT_S).items():
        answers[path], status = show_status_of_agent(encoded, options)
        worst = max(worst, status)
    if options.json:
        print_json(answers)
    return worst


def show_status_of_agent(encoded: EncodedReply | UnreachableError, options: Options) -> CommandResult:
    """Print the selected instances of one agent."""
    if isinstance(encoded, UnreachableError):
        return report_unreachable(encoded, STATE_UNKNOWN)
    try:
        answer = decode_answer(encoded, decode_status)
    except RefusedError as problem:
        return report_refusal(problem)
    instances = keep_selected(answer, options.select) if options.select else answer.reply.instances
    if options.plain:
        print_columns(status_rows(instances))
    return CommandResult(answer.encoded, ExitStatus.DONE)


def keep_selected(answer: Answer[StatusReply], words: list[str]) -> list[InstanceStatus]:
    """Return the selected instances; the encoded answer keeps these alone."""
    names = set(select_of_agent(answer.reply.instances, words))
    encoded = answer.encoded
    encoded["instances"] = [one for one in encoded["instances"] if one["name"] in names]
    return [one for one in answer.reply.instances if one.name in names]


def status_rows(instances: list[InstanceStatus]) -> list[tuple[str, ...]]:
    """Return the table of instances, with its headings."""
    rows: list[tuple[str, ...]] = [STATUS_HEADINGS]
    for one in instances:
        rows.append(
            (
                one.name,
                one.state,
                one.version,
                str(one.pid or "-"),
                f"{one.memory_kb // 1024}M",
                f"{one.state_age_ms / 1000:.0f}s",
                one.rollout_id or "-",
                one.reason,
            )
        )
    return rows
