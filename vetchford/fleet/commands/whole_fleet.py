"""Commands over a whole fleet: any agent takes them, the first that replies is asked."""

import json

from vetchford.fleet.agent_client import Answer, UnreachableError
from vetchford.fleet.agent_messages import FleetRequestKind
from vetchford.fleet.commands import fleet_views
from vetchford.fleet.commands.exit_status import ExitStatus
from vetchford.fleet.commands.options import CONTROL_COMMANDS, Command, Options
from vetchford.fleet.commands.output import print_error, report_refusal
from vetchford.fleet.commands.rollout_commands import (
    Follower,
    new_rollout_id,
    report_submission,
    rollout_fields,
)
from vetchford.fleet.commands.selection import select_of_fleet
from vetchford.fleet.fleet_client import FleetClient

UNREACHABLE_TIMEOUT = 30.0  # s without any agent: a leader is replaced within ten
POLL_INTERVAL = 0.2  # s between two looks at a rollout
WAIT_COMMAND = "vetchford fleet --across wait"
DEFAULT_OPERATOR = "the tool"


def run(options: Options) -> ExitStatus:
    """Carry out a command of the fleet; return the exit status."""
    client = FleetClient(options.sockets)
    try:
        if options.command == Command.PEERS:
            return fleet_views.show_peers(options)
        if options.command == Command.STATUS:
            return fleet_views.show_status(client, options)
        if options.command == Command.WATCH:
            return fleet_views.watch(client, options)
        answer, status = run_on_fleet(client, options)
    except UnreachableError as problem:
        print_error(f"{problem}; what they do is unknown")
        answer, status = {"unknown": str(problem)}, ExitStatus.UNKNOWN
    if options.json:
        print(json.dumps(answer))
    return status


def run_on_fleet(client: FleetClient, options: Options) -> tuple[Answer, ExitStatus]:
    """Carry out a command that has one answer. Raises UnreachableError."""
    if options.command in CONTROL_COMMANDS:
        return control(client, options)
    if options.command in (Command.ADMIT, Command.DISMISS):
        return change_members(client, options)
    if options.command == Command.EXPLAIN:
        return explain(client, options)
    if options.command == Command.WAIT:
        return follow(client, options, options.rollout_id)
    return begin(client, options)


def control(client: FleetClient, options: Options) -> tuple[Answer, ExitStatus]:
    """Pause, resume or abort a rollout."""
    answer = client.ask({"ask": options.command, "id": options.rollout_id})
    if options.plain and "state" in answer:
        leader = answer["driver"]
        seen = f"; {leader} drives" if leader else "; nobody that drives is seen from there"
        print(f"change {answer['id']} is {answer['state']} for {answer['obeyed_by']}{seen}")
    return answer, report_refusal(answer)


def change_members(client: FleetClient, options: Options) -> tuple[Answer, ExitStatus]:
    """Admit an agent to the fleet or dismiss one."""
    operator = options.by or DEFAULT_OPERATOR
    answer = client.ask({"ask": options.command, "name": options.agent, "by": operator})
    if options.plain and "members" in answer:
        print(f"agents of the fleet: {', '.join(answer['members'])}")
    return answer, report_refusal(answer)


def explain(client: FleetClient, options: Options) -> tuple[Answer, ExitStatus]:
    """Print how far a rollout is and what it waits for."""
    answer = client.ask({"ask": FleetRequestKind.FIND, "id": options.instance})
    if options.plain and "state" in answer:
        fleet_views.print_rollout(answer)
    return answer, report_refusal(answer)


def begin(client: FleetClient, options: Options) -> tuple[Answer, ExitStatus]:
    """Begin a rollout, and wait for its end unless the operator does not want to."""
    id = options.requested_id or new_rollout_id()
    rollout = rollout_fields(options, id, find_targets(client, options))
    kind = FleetRequestKind.PLAN if options.dry_run else FleetRequestKind.ROLLOUT
    answer = client.ask({"ask": kind, "change": rollout})
    if "refused" in answer or options.dry_run or options.no_wait:
        return answer, report_submission(options, id, answer, WAIT_COMMAND)
    return follow(client, options, id)


def find_targets(client: FleetClient, options: Options) -> list[str]:
    """Return the selected instances, or those of the rollout that the same command began before.

    What the same command names may not be seen just now.
    """
    if options.requested_id:
        known = client.ask({"ask": FleetRequestKind.FIND, "id": options.requested_id})
        if "refused" not in known:
            return list(known["steps"])
    status = client.ask({"ask": FleetRequestKind.STATUS})
    return select_of_fleet(status["instances"], options.select)


def follow(client: FleetClient, options: Options, id: str) -> tuple[Answer, ExitStatus]:
    """Wait for the end of a rollout, whichever agent leads it and whichever replies."""
    return Follower(
        id,
        options,
        find=lambda: client.ask({"ask": FleetRequestKind.FIND, "id": id}),
        poll_interval=POLL_INTERVAL,
        unreachable_timeout=UNREACHABLE_TIMEOUT,
        reason_to_wait=reason_to_wait,
    ).follow()


def reason_to_wait(answer: Answer) -> str:
    """Return why a rollout makes no progress; empty if no reason is known."""
    if answer["waits"]:
        return str(answer["waits"])
    return "" if answer["driver"] else f"nobody that drives is seen from {answer['told_by']}"
