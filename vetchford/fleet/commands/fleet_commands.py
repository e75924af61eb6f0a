"""Commands to a whole fleet, sent to the first named agent that replies."""

import contextlib
import json

from vetchford.fleet.agent_client import UnreachableError
from vetchford.fleet.commands import fleet_views
from vetchford.fleet.commands.exit_status import ExitStatus
from vetchford.fleet.commands.options import CONTROL_COMMANDS, Command, Options
from vetchford.fleet.commands.output import CommandResult, report_refusal, report_unreachable
from vetchford.fleet.commands.rollout_commands import (
    CONTROL_REQUESTS,
    RolloutWaiter,
    new_rollout_id,
    report_plan,
    report_submission,
    rollout_request,
)
from vetchford.fleet.commands.selection import select_of_fleet
from vetchford.fleet.fleet_client import FleetClient
from vetchford.fleet.fleet_messages import AdmitRequest, DismissRequest, FleetRolloutStatus
from vetchford.fleet.rollout import RefusedError

UNREACHABLE_TIMEOUT_S = 30.0  # without a reply from any agent; a leader is replaced within 10 s
POLL_INTERVAL_S = 0.2  # between requests for a rollout's status
WAIT_COMMAND = "vetchford fleet --across wait"
DEFAULT_OPERATOR = "the tool"  # recorded for a change of members without --by


def run(options: Options) -> ExitStatus:
    """Run a fleet command; return the exit status."""
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
    """Run a command with a single reply; report a refusal or a missing reply."""
    try:
        return run_on_fleet(client, options)
    except RefusedError as problem:
        return report_refusal(problem)
    except UnreachableError as problem:
        return report_unreachable(problem, "the state of the fleet is unknown")


def run_on_fleet(client: FleetClient, options: Options) -> CommandResult:
    """Run a command with a single reply. Raises UnreachableError, RefusedError."""
    if options.command == Command.STATUS:
        return fleet_views.show_status(client, options)
    if options.command in CONTROL_COMMANDS:
        return control(client, options)
    if options.command in (Command.ADMIT, Command.DISMISS):
        return change_members(client, options)
    if options.command == Command.EXPLAIN:
        return explain(client, options)
    if options.command == Command.WAIT:
        return wait_for_rollout(client, options, options.rollout_id)
    return start_rollout(client, options)


def watch(client: FleetClient, options: Options) -> ExitStatus:
    """Show a live table, or print the changes, until the operator interrupts or the patience ends."""
    try:
        return fleet_views.watch(client, options)
    except RefusedError as problem:
        return report_refusal(problem).status


def control(client: FleetClient, options: Options) -> CommandResult:
    """Pause, resume or abort a rollout."""
    reply = client.control(CONTROL_REQUESTS[options.command](options.rollout_id))
    if options.prints_text:
        rollout = reply.decoded
        leader = f"; {rollout.leader} drives" if rollout.leader else "; nobody that drives is seen from there"
        print(f"change {rollout.id} is {rollout.state} for {rollout.obeyed_by}{leader}")
    return CommandResult(reply.encoded, ExitStatus.DONE)


def change_members(client: FleetClient, options: Options) -> CommandResult:
    """Admit an agent to the fleet or dismiss one."""
    request_type = AdmitRequest if options.command == Command.ADMIT else DismissRequest
    reply = client.change_members(request_type(options.agent, options.operator or DEFAULT_OPERATOR))
    if options.prints_text:
        print(f"agents of the fleet: {', '.join(reply.decoded.members)}")
    return CommandResult(reply.encoded, ExitStatus.DONE)


def explain(client: FleetClient, options: Options) -> CommandResult:
    """Print the progress of a rollout and what it waits for."""
    reply = client.find(options.instance)
    if options.prints_text:
        fleet_views.print_rollout(reply.decoded)
    return CommandResult(reply.encoded, ExitStatus.DONE)


def start_rollout(client: FleetClient, options: Options) -> CommandResult:
    """Start a rollout and wait for its end, unless --no-wait is given."""
    id = options.requested_id or new_rollout_id()
    rollout = rollout_request(options, id, find_targets(client, options))
    if options.dry_run:
        return report_plan(options, client.plan(rollout))
    reply = client.submit(rollout)
    if options.no_wait:
        return report_submission(options, id, reply, WAIT_COMMAND)
    return wait_for_rollout(client, options, id)


def find_targets(client: FleetClient, options: Options) -> list[str]:
    """Return the targets of the rollout with the requested id, or the selected instances if there is none.

    When a command is repeated, some of the instances that it selects may have no current report.
    """
    if options.requested_id:
        with contextlib.suppress(RefusedError):  # unknown rollout: the command is given for the first time
            return list(client.find(options.requested_id).decoded.steps)
    return select_of_fleet(client.status().decoded.instances, options.select)


def wait_for_rollout(client: FleetClient, options: Options, id: str) -> CommandResult:
    """Wait until a rollout ends or pauses, whichever agent leads and whichever replies."""
    return RolloutWaiter(
        id,
        options,
        find=lambda: client.find(id),
        poll_interval_s=POLL_INTERVAL_S,
        unreachable_timeout_s=UNREACHABLE_TIMEOUT_S,
        wait_reason=wait_reason,
    ).wait()


def wait_reason(rollout: FleetRolloutStatus) -> str:
    """Return why a rollout makes no progress; empty if no reason is known."""
    if rollout.waits_for:
        return rollout.waits_for
    return "" if rollout.leader else f"nobody that drives is seen from {rollout.replied_by}"
