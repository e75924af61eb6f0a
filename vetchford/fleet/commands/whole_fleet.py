"""Commands over a whole fleet: any agent takes them, the first that replies is asked."""

import contextlib
import json

from vetchford.fleet.agent_client import UnreachableError
from vetchford.fleet.commands import fleet_views
from vetchford.fleet.commands.exit_status import ExitStatus
from vetchford.fleet.commands.options import CONTROL_COMMANDS, Command, Options
from vetchford.fleet.commands.output import CommandResult, report_refusal, report_unreachable
from vetchford.fleet.commands.rollout_commands import (
    CONTROL_REQUESTS,
    Follower,
    new_rollout_id,
    report_plan,
    report_submission,
    rollout_request,
)
from vetchford.fleet.commands.selection import select_of_fleet
from vetchford.fleet.fleet_client import FleetClient
from vetchford.fleet.fleet_messages import AdmitRequest, DismissRequest, FleetRolloutStatus
from vetchford.fleet.rollout import RefusedError

UNREACHABLE_TIMEOUT_S = 30.0  # without any agent: a leader is replaced within ten
POLL_INTERVAL_S = 0.2  # between two looks at a rollout
WAIT_COMMAND = "vetchford fleet --across wait"
DEFAULT_OPERATOR = "the tool"


def run(options: Options) -> ExitStatus:
    """Carry out a command of the fleet; return the exit status."""
    client = FleetClient(options.sockets)
    if options.command == Command.PEERS:
        return fleet_views.show_peers(options)
    if options.command == Command.WATCH:
        return watch(client, options)
    result = run_or_report(client, options)
    if options.json:
        print(json.dumps(result.encoded))
    return result.status


def run_or_report(client: FleetClient, options: Options) -> CommandResult:
    """Carry out a command that has one answer; say so if it is refused or no agent replies."""
    try:
        return run_on_fleet(client, options)
    except RefusedError as problem:
        return report_refusal(problem)
    except UnreachableError as problem:
        return report_unreachable(problem, "what they do is unknown")


def run_on_fleet(client: FleetClient, options: Options) -> CommandResult:
    """Carry out a command that has one answer. Raises UnreachableError, RefusedError."""
    if options.command == Command.STATUS:
        return fleet_views.show_status(client, options)
    if options.command in CONTROL_COMMANDS:
        return control(client, options)
    if options.command in (Command.ADMIT, Command.DISMISS):
        return change_members(client, options)
    if options.command == Command.EXPLAIN:
        return explain(client, options)
    if options.command == Command.WAIT:
        return follow(client, options, options.rollout_id)
    return begin(client, options)


def watch(client: FleetClient, options: Options) -> ExitStatus:
    """Show a live table, or the changes, until the operator ends it."""
    try:
        return fleet_views.watch(client, options)
    except RefusedError as problem:
        return report_refusal(problem).status


def control(client: FleetClient, options: Options) -> CommandResult:
    """Pause, resume or abort a rollout."""
    answer = client.control(CONTROL_REQUESTS[options.command](options.rollout_id))
    if options.plain:
        reply = answer.reply
        seen = f"; {reply.leader} drives" if reply.leader else "; nobody that drives is seen from there"
        print(f"change {reply.id} is {reply.state} for {reply.obeyed_by}{seen}")
    return CommandResult(answer.encoded, ExitStatus.DONE)


def change_members(client: FleetClient, options: Options) -> CommandResult:
    """Admit an agent to the fleet or dismiss one."""
    request_type = AdmitRequest if options.command == Command.ADMIT else DismissRequest
    answer = client.change_members(request_type(options.agent, options.operator or DEFAULT_OPERATOR))
    if options.plain:
        print(f"agents of the fleet: {', '.join(answer.reply.members)}")
    return CommandResult(answer.encoded, ExitStatus.DONE)


def explain(client: FleetClient, options: Options) -> CommandResult:
    """Print how far a rollout is and what it waits for."""
    answer = client.find(options.instance)
    if options.plain:
        fleet_views.print_rollout(answer.reply)
    return CommandResult(answer.encoded, ExitStatus.DONE)


def begin(client: FleetClient, options: Options) -> CommandResult:
    """Begin a rollout, and wait for its end unless the operator does not want to."""
    id = options.requested_id or new_rollout_id()
    rollout = rollout_request(options, id, find_targets(client, options))
    if options.dry_run:
        return report_plan(options, client.plan(rollout))
    answer = client.submit(rollout)
    if options.no_wait:
        return report_submission(options, id, answer, WAIT_COMMAND)
    return follow(client, options, id)


def find_targets(client: FleetClient, options: Options) -> list[str]:
    """Return the selected instances, or those of the rollout that the same command began before.

    What the same command names may not be seen just now.
    """
    if options.requested_id:
        with contextlib.suppress(RefusedError):  # none that is known: the command is given for the first time
            return list(client.find(options.requested_id).reply.steps)
    return select_of_fleet(client.status().reply.instances, options.select)


def follow(client: FleetClient, options: Options, id: str) -> CommandResult:
    """Wait for the end of a rollout, whichever agent leads it and whichever replies."""
    return Follower(
        id,
        options,
        find=lambda: client.find(id),
        poll_interval_s=POLL_INTERVAL_S,
        unreachable_timeout_s=UNREACHABLE_TIMEOUT_S,
        reason_to_wait=reason_to_wait,
    ).follow()


def reason_to_wait(rollout: FleetRolloutStatus) -> str:
    """Return why a rollout makes no progress; empty if no reason is known."""
    if rollout.waits_for:
        return rollout.waits_for
    return "" if rollout.leader else f"nobody that drives is seen from {rollout.replied_by}"
