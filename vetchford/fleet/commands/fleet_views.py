"""What the commands over a whole fleet show: instances, rollouts, the agents and how they see each other."""

import time
from typing import TYPE_CHECKING

from vetchford.fleet.agent_client import UnreachableError, ask_all, decode_answer
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

WATCH_INTERVAL_S = 0.4  # between two looks
DEFAULT_HEIGHT = 24  # lines, if the terminal does not report its size
DEFAULT_WIDTH = 80  # characters, likewise
STATUS_HEADINGS = ("NAME", "STATE", "VERSION", "CHANGE", "WHY")
PEER_HEADINGS = ("PEER", "VIEW", "LINK", "LIFE", "MEMBER", "VOTER", "WHY")
COMPARED_COLUMNS = 4  # all but WHY: a reason alone is no change worth a line
ALL_INSTANCES = ["all"]  # of SELECT, where it names none

Row = tuple[str, ...]


# -- instances and rollouts


def show_status(client: FleetClient, options: Options) -> CommandResult:
    """Print the instances of all agents, and the rollouts that have not ended.

    Raises UnreachableError, RefusedError.
    """
    answer = client.status()
    if options.plain:
        print_columns(status_rows(answer.reply, options.select))
        print_unended_rollouts(answer.reply.rollouts)
    else:
        keys = set(select_of_fleet(answer.reply.instances, options.select or ALL_INSTANCES))
        instances = answer.encoded["instances"]
        answer.encoded["instances"] = {key: one for key, one in instances.items() if key in keys}
    status = ExitStatus.UNKNOWN if answer.reply.unseen_agents else ExitStatus.DONE
    return CommandResult(answer.encoded, status)


def status_rows(status: FleetStatus, words: list[str]) -> list[Row]:
    """Return the table of the instances that the words of SELECT name, with its headings."""
    rows: list[Row] = [STATUS_HEADINGS]
    for key in select_of_fleet(status.instances, words or ALL_INSTANCES):
        one = status.instances[key]
        rows.append((key, one.state, one.version, one.rollout_id or "-", one.reason))
    rows += [(f"*@{agent}", "unknown", "-", "-", "its agent is not seen") for agent in status.unseen_agents]
    return rows


def print_unended_rollouts(rollouts: list[RolloutSummary]) -> None:
    """Print a line for each rollout that is running or paused."""
    for rollout in rollouts:
        if rollout.state in (RolloutState.RUNNING, RolloutState.PAUSED):
            waits = f"; waits: {rollout.waits_for}" if rollout.waits_for else ""
            line = f"change {rollout.id} ({rollout.kind}) is {rollout.state} {rollout.reason}{waits}"
            print(line.rstrip())


def print_rollout(rollout: FleetRolloutStatus) -> None:
    """Print one rollout: its steps, its leader, and what it waits for."""
    by_step: dict[str, list[str]] = {}
    for key, step in rollout.steps.items():
        by_step.setdefault(step, []).append(key)
    reason = f": {rollout.reason}" if rollout.reason else ""
    print(
        f"change {rollout.id} ({rollout.kind}, batch {rollout.batch}, floor {rollout.minimum_available}) "
        f"is {rollout.state}{reason}"
    )
    for step, keys in sorted(by_step.items()):
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
    """Print what each named agent sees of the others; all are asked at once."""
    answers: dict[str, EncodedReply] = {}
    worst = ExitStatus.DONE
    for path, encoded in ask_all(options.sockets, fleet_request(PeersRequest())).items():
        answers[path], status = show_peers_of_agent(encoded, options)
        worst = max(worst, status)
    if options.json:
        print_json(answers)
    return worst


def show_peers_of_agent(encoded: EncodedReply | UnreachableError, options: Options) -> CommandResult:
    """Print what one agent sees of the others."""
    if isinstance(encoded, UnreachableError):
        return report_unreachable(encoded, "what it sees is unknown")
    try:
        answer = decode_answer(encoded, decode_peers)
    except RefusedError as problem:
        return report_refusal(problem)
    if options.plain:
        print_peers(answer.reply)
    return CommandResult(encoded, ExitStatus.DONE)


def print_peers(reply: PeersReply) -> None:
    """Print one agent's part in its fleet, and its view of the others."""
    record = reply.record
    leader = record.leader if record.role == Role.FOLLOWER else ""
    part = f"{record.role} {leader}".rstrip()
    votes = "" if record.counted else "; its word does not count until it is listed anew"
    print(f"{reply.name} of {reply.fleet}, life {reply.incarnation}: {part}{votes}")
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
    """Show a live table on a terminal; into a pipe, a line for each thing that changes."""
    from blessed import Terminal  # only here: no other command draws

    terminal = Terminal()
    deadline_s = time.monotonic() + options.patience_s
    try:
        if terminal.is_a_tty:
            draw_until(deadline_s, terminal, client, options.select)
        else:
            print_changes_until(deadline_s, client, options.select)
    except KeyboardInterrupt:
        pass  # the operator ends it
    except BrokenPipeError:  # so does this, with `head`
        discard_output()
    return ExitStatus.DONE


def current_rows(client: FleetClient, words: list[str]) -> list[Row]:
    """Return the table of instances, also while no agent can be reached."""
    try:
        status = client.status().reply
    except UnreachableError as problem:
        return [STATUS_HEADINGS, ("*", "unknown", "-", "-", str(problem))]
    return status_rows(status, words)


def draw_until(deadline_s: float, terminal: "Terminal", client: FleetClient, words: list[str]) -> None:
    """Draw the table again and again; `deadline_s`: monotonic."""
    with terminal.fullscreen(), terminal.hidden_cursor():
        while time.monotonic() < deadline_s:
            lines: list[str] = []
            print_columns(current_rows(client, words), lines.append)
            draw(terminal, lines)
            time.sleep(WATCH_INTERVAL_S)


def draw(terminal: "Terminal", lines: list[str]) -> None:
    """Draw the lines that fit, the first in bold."""
    height = terminal.height or DEFAULT_HEIGHT
    width = terminal.width or DEFAULT_WIDTH
    for number, line in enumerate(lines[: height - 1]):
        text = line[:width]
        print(terminal.move_xy(0, number) + (terminal.bold(text) if number == 0 else text), end="")
        print(terminal.clear_eol, end="")
    print(terminal.clear_eos, end="", flush=True)


def print_changes_until(deadline_s: float, client: FleetClient, words: list[str]) -> None:
    """Print a line for each instance whose state, version or rollout changes; `deadline_s`: monotonic."""
    previous: dict[str, Row] = {}
    while time.monotonic() < deadline_s:
        rows = {row[0]: row for row in current_rows(client, words)[1:]}
        for key, row in rows.items():
            if previous.get(key, ())[:COMPARED_COLUMNS] != row[:COMPARED_COLUMNS]:
                print(" ".join((time.strftime("%H:%M:%S"), *row)).rstrip(), flush=True)
        previous = rows
        time.sleep(WATCH_INTERVAL_S)
