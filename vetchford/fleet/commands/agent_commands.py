"""Commands to single agents, one after the other."""

import json
import time

from vetchford.fleet.agent_client import (
    DEFAULT_TIMEOUT_S,
    AgentClient,
    ReceivedReply,
    UnreachableError,
    decode_reply,
    send_request_to_all,
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
    RolloutWaiter,
    new_rollout_id,
    report_plan,
    report_submission,
    rollout_request,
)
from vetchford.fleet.commands.selection import select_of_agent
from vetchford.fleet.rollout import RefusedError

STATUS_TIMEOUT_S = 3.0  # for each agent; a suspended agent is then shown as unknown
POLL_INTERVAL_S = 0.1  # between requests for a rollout's status
WAIT_COMMAND = "vetchford fleet wait"
STATE_UNKNOWN = "the agent's state is unknown"
STATUS_HEADINGS = ("NAME", "STATE", "VERSION", "PID", "MEMORY", "FOR", "CHANGE", "WHY")


def run(options: Options) -> ExitStatus:
    """Run a command on the named agents; return the exit status."""
    if options.command == Command.STATUS:
        return show_status(options)
    id = options.rollout_id or options.requested_id or new_rollout_id()
    replies: dict[str, EncodedReply] = {}
    worst = ExitStatus.DONE
    for path in options.sockets:
        replies[path], status = run_or_report(path, options, id)
        worst = max(worst, status)
        if status == ExitStatus.UNKNOWN:
            break  # the number of the agent's serving instances is unknown
        if status != ExitStatus.DONE and options.select:
            break  # a failure on one agent is not repeated on the next
    if options.json:
        print_json(replies)
    return worst


def run_or_report(path: str, options: Options, id: str) -> CommandResult:
    """Run a command on one agent; report a refusal or a missing reply."""
    try:
        return run_on_agent(AgentClient(path), options, id)
    except RefusedError as problem:
        return report_refusal(problem)
    except UnreachableError as problem:
        return report_unreachable(problem, STATE_UNKNOWN)


def run_on_agent(client: AgentClient, options: Options, id: str) -> CommandResult:
    """Run a command on one agent. Raises UnreachableError, RefusedError."""
    if options.command == Command.HISTORY:
        return show_history(client, options)
    if options.command == Command.EXPLAIN:
        return explain(client, options)
    if options.command in CONTROL_COMMANDS:
        return control(client, options, id)
    if options.command == Command.WAIT:
        return wait_for_rollout(client, options, id)
    return start_rollout(client, options, id)


def show_history(client: AgentClient, options: Options) -> CommandResult:
    """Print the newest entries of the history in an agent's store."""
    reply = client.history()
    if options.prints_text:
        for entry in reply.decoded.entries:
            timestamp = time.strftime("%H:%M:%S", time.localtime(entry.at_s))
            print(timestamp, entry.kind, entry.name, json.dumps(entry.body))
    return CommandResult(reply.encoded, ExitStatus.DONE)


def explain(client: AgentClient, options: Options) -> CommandResult:
    """Print why an instance is in its state."""
    reply = client.explain(options.instance)
    if options.prints_text:
        print(reply.decoded.explanation)
    return CommandResult(reply.encoded, ExitStatus.DONE)


def control(client: AgentClient, options: Options, id: str) -> CommandResult:
    """Pause, resume or abort a rollout."""
    reply = client.control(CONTROL_REQUESTS[options.command](id))
    if options.prints_text:
        print(f"change {id} is {reply.decoded.state}")
    return CommandResult(reply.encoded, ExitStatus.DONE)


def start_rollout(client: AgentClient, options: Options, id: str) -> CommandResult:
    """Start a rollout and wait for its end, unless --no-wait is given."""
    targets = select_of_agent(client.status().decoded.instances, options.select)
    rollout = rollout_request(options, id, targets)
    if options.dry_run:
        return report_plan(options, client.plan(rollout))
    reply = client.submit(rollout)
    if options.no_wait:
        return report_submission(options, id, reply, WAIT_COMMAND)
    return wait_for_rollout(client, options, id)


def wait_for_rollout(client: AgentClient, options: Options, id: str) -> CommandResult:
    """Wait until a rollout ends or pauses."""
    return RolloutWaiter(
        id,
        options,
        find=lambda: client.find(id),
        poll_interval_s=POLL_INTERVAL_S,
        unreachable_timeout_s=DEFAULT_TIMEOUT_S,
    ).wait()


def show_status(options: Options) -> ExitStatus:
    """Print the instances of the named agents, which are asked in parallel."""
    replies: dict[str, EncodedReply] = {}
    worst = ExitStatus.DONE
    for path, encoded in send_request_to_all(options.sockets, StatusRequest(), STATUS_TIMEOUT_S).items():
        replies[path], status = show_status_of_agent(encoded, options)
        worst = max(worst, status)
    if options.json:
        print_json(replies)
    return worst


def show_status_of_agent(encoded: EncodedReply | UnreachableError, options: Options) -> CommandResult:
    """Print the selected instances of one agent."""
    if isinstance(encoded, UnreachableError):
        return report_unreachable(encoded, STATE_UNKNOWN)
    try:
        reply = decode_reply(encoded, decode_status)
    except RefusedError as problem:
        return report_refusal(problem)
    instances = keep_selected(reply, options.select) if options.select else reply.decoded.instances
    if options.prints_text:
        print_columns(status_rows(instances))
    return CommandResult(reply.encoded, ExitStatus.DONE)


def keep_selected(reply: ReceivedReply[StatusReply], selectors: list[str]) -> list[InstanceStatus]:
    """Return the selected instances and remove all others from the encoded reply."""
    names = set(select_of_agent(reply.decoded.instances, selectors))
    encoded = reply.encoded
    encoded["instances"] = [instance for instance in encoded["instances"] if instance["name"] in names]
    return [instance for instance in reply.decoded.instances if instance.name in names]


def status_rows(instances: list[InstanceStatus]) -> list[tuple[str, ...]]:
    """Return the rows of the instance table, with its headings."""
    rows: list[tuple[str, ...]] = [STATUS_HEADINGS]
    for instance in instances:
        rows.append(
            (
                instance.name,
                instance.state,
                instance.version,
                str(instance.pid or "-"),
                f"{instance.memory_kb // 1024}M",
                f"{instance.state_age_ms / 1000:.0f}s",
                instance.rollout_id or "-",
                instance.reason,
            )
        )
    return rows
