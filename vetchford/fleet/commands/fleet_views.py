"""Output of fleet commands: instances, rollouts, and how the agents see each other."""

import time
from typing import TYPE_CHECKING

from vetchford.fleet.agent_client import UnreachableError, decode_reply, send_request_to_all
from vetchford.fleet.agent_messages import EncodedReply
from vetchford.fleet.commands.exit_status import ExitStatus
from vetchford.fleet.commands.options import Options
from vetchford.fleet.commands.output import (
    CommandResult,
    discard_output,
    print_columns,
    print_json,
    report_refusal,
    report_unreachable,
)
from vetchford.fleet.commands.selection import select_of_fleet
from vetchford.fleet.consensus import Role
from vetchford.fleet.fleet_client import FleetClient, fleet_request
from vetchford.fleet.fleet_messages import (
    FleetRolloutStatus,
    FleetStatus,
    PeersReply,
    PeersRequest,
    RolloutSummary,
    decode_peers,
)
from vetchford.fleet.fleet_record import RolloutState
from vetchford.fleet.rollout import RefusedError

if TYPE_CHECKING:
    from blessed import Terminal

WATCH_INTERVAL_S = 0.4  # between requests for the status
DEFAULT_HEIGHT = 24  # lines, for a terminal that does not report its size
DEFAULT_WIDTH = 80  # characters, for the same case
STATUS_HEADINGS = ("NAME", "STATE", "VERSION", "CHANGE", "WHY")
PEER_HEADINGS = ("PEER", "VIEW", "LINK", "LIFE", "MEMBER", "VOTER", "WHY")
COMPARED_COLUMNS = 4  # all but WHY: a new reason alone is not a change
ALL_INSTANCES = ["all"]  # default of SELECT

Row = tuple[str, ...]


# -- instances and rollouts


def show_status(client: FleetClient, options: Options) -> CommandResult:
    """Print the instances of all agents and the unfinished rollouts.

    Raises UnreachableError, RefusedError.
    """
    reply = client.status()
    if options.prints_text:
        print_columns(status_rows(reply.decoded, options.select))
        print_unfinished_rollouts(reply.decoded.rollouts)
    else:
        keys = set(select_of_fleet(reply.decoded.instances, options.select or ALL_INSTANCES))
        instances = reply.encoded["instances"]
        reply.encoded["instances"] = {key: instance for key, instance in instances.items() if key in keys}
    status = ExitStatus.UNKNOWN if reply.decoded.unseen_agents else ExitStatus.DONE
    return CommandResult(reply.encoded, status)


def status_rows(status: FleetStatus, selectors: list[str]) -> list[Row]:
    """Return the rows of the table of selected instances, with its headings."""
    rows: list[Row] = [STATUS_HEADINGS]
    for key in select_of_fleet(status.instances, selectors or ALL_INSTANCES):
        instance = status.instances[key]
        rows.append((key, instance.state, instance.version, instance.rollout_id or "-", instance.reason))
    rows += [(f"*@{agent}", "unknown", "-", "-", "its agent is not seen") for agent in status.unseen_agents]
    return rows


def print_unfinished_rollouts(rollouts: list[RolloutSummary]) -> None:
    """Print a line for each rollout that is running or paused."""
    for rollout in rollouts:
        if rollout.state in (RolloutState.RUNNING, RolloutState.PAUSED):
            waits = f"; waits: {rollout.waits_for}" if rollout.waits_for else ""
            line = f"change {rollout.id} ({rollout.kind}) is {rollout.state} {rollout.reason}{waits}"
            print(line.rstrip())


def print_rollout(rollout: FleetRolloutStatus) -> None:
    """Print one rollout: its steps, the leader, and what the rollout waits for."""
    keys_by_step: dict[str, list[str]] = {}
    for key, step in rollout.steps.items():
        keys_by_step.setdefault(step, []).append(key)
    reason = f": {rollout.reason}" if rollout.reason else ""
    print(
        f"change {rollout.id} ({rollout.kind}, batch {rollout.batch}, floor {rollout.minimum_available}) "
        f"is {rollout.state}{reason}"
    )
    for step, keys in sorted(keys_by_step.items()):
        print(f"  {step}: {', '.join(keys)}")
    if rollout.waits_for:
        print(f"  waits: {rollout.waits_for}")
    silence_ms = rollout.leader_silence_ms
    heard = f"heard of {silence_ms / 1000:.1f} s ago" if silence_ms else "asked itself"
    print(
        f"  driven by {rollout.leader or 'nobody that is seen'} ({heard}), "
        f"record {rollout.term}.{rollout.revision} as {rollout.replied_by} holds it"
    )


# -- agents


def show_peers(options: Options) -> ExitStatus:
    """Print how each named agent sees the others; the agents are asked in parallel."""
    replies: dict[str, EncodedReply] = {}
    worst = ExitStatus.DONE
    for path, encoded in send_request_to_all(options.sockets, fleet_request(PeersRequest())).items():
        replies[path], status = show_peers_of_agent(encoded, options)
        worst = max(worst, status)
    if options.json:
        print_json(replies)
    return worst


def show_peers_of_agent(encoded: EncodedReply | UnreachableError, options: Options) -> CommandResult:
    """Print how one agent sees the others."""
    if isinstance(encoded, UnreachableError):
        return report_unreachable(encoded, "the agent's view of the fleet is unknown")
    try:
        reply = decode_reply(encoded, decode_peers)
    except RefusedError as problem:
        return report_refusal(problem)
    if options.prints_text:
        print_peers(reply.decoded)
    return CommandResult(encoded, ExitStatus.DONE)


def print_peers(reply: PeersReply) -> None:
    """Print an agent's role in its fleet and its view of the others."""
    record = reply.record
    leader = record.leader if record.role == Role.FOLLOWER else ""
    role = f"{record.role} {leader}".rstrip()
    vote = "" if record.counted else "; its word does not count until it is listed anew"
    print(f"{reply.name} of {reply.fleet}, life {reply.incarnation}: {role}{vote}")
    rows: list[Row] = [PEER_HEADINGS]
    for peer in reply.peers:
        rows.append(
            (
                peer.name,
                peer.view,
                peer.link,
                str(peer.incarnation),
                "yes" if peer.member else "no",
                "yes" if peer.voter else "no",
                peer.reason,
            )
        )
    print_columns(rows)


# -- watching


def watch(client: FleetClient, options: Options) -> ExitStatus:
    """Show a live table on a terminal; otherwise print a line for each change of an instance."""
    from blessed import Terminal  # imported only for this command

    terminal = Terminal()
    deadline_s = time.monotonic() + options.patience_s
    try:
        if terminal.is_a_tty:
            draw_table_until(deadline_s, terminal, client, options.select)
        else:
            print_changes_until(deadline_s, client, options.select)
    except KeyboardInterrupt:
        pass  # the operator interrupts the command
    except BrokenPipeError:  # the reader of the pipe has exited, for example `head`
        discard_output()
    return ExitStatus.DONE


def current_rows(client: FleetClient, selectors: list[str]) -> list[Row]:
    """Return the rows of the instance table; one row with the error if no agent can be reached."""
    try:
        status = client.status().decoded
    except UnreachableError as problem:
        return [STATUS_HEADINGS, ("*", "unknown", "-", "-", str(problem))]
    return status_rows(status, selectors)


def draw_table_until(
    deadline_s: float, terminal: "Terminal", client: FleetClient, selectors: list[str]
) -> None:
    """Redraw the table periodically; `deadline_s`: monotonic."""
    with terminal.fullscreen(), terminal.hidden_cursor():
        while time.monotonic() < deadline_s:
            lines: list[str] = []
            print_columns(current_rows(client, selectors), lines.append)
            draw_lines(terminal, lines)
            time.sleep(WATCH_INTERVAL_S)


def draw_lines(terminal: "Terminal", lines: list[str]) -> None:
    """Draw the lines that fit the terminal, the first one in bold."""
    height = terminal.height or DEFAULT_HEIGHT
    width = terminal.width or DEFAULT_WIDTH
    for number, line in enumerate(lines[: height - 1]):
        text = line[:width]
        print(terminal.move_xy(0, number) + (terminal.bold(text) if number == 0 else text), end="")
        print(terminal.clear_eol, end="")
    print(terminal.clear_eos, end="", flush=True)


def print_changes_until(deadline_s: float, client: FleetClient, selectors: list[str]) -> None:
    """Print a line for each instance whose state, version or rollout changes; `deadline_s`: monotonic."""
    previous: dict[str, Row] = {}
    while time.monotonic() < deadline_s:
        rows = {row[0]: row for row in current_rows(client, selectors)[1:]}
        for key, row in rows.items():
            if previous.get(key, ())[:COMPARED_COLUMNS] != row[:COMPARED_COLUMNS]:
                print(" ".join((time.strftime("%H:%M:%S"), *row)).rstrip(), flush=True)
        previous = rows
        time.sleep(WATCH_INTERVAL_S)
