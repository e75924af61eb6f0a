"""What the commands over a whole fleet show: instances, rollouts, the agents and how they see each other."""

import json
import time
from typing import TYPE_CHECKING

from vetchford.fleet.agent_client import Answer, UnreachableError, ask_all
from vetchford.fleet.agent_messages import FleetRequestKind
from vetchford.fleet.commands.exit_status import ExitStatus
from vetchford.fleet.commands.options import Options
from vetchford.fleet.commands.output import print_columns, print_error, print_json, report_refusal
from vetchford.fleet.commands.selection import select_of_fleet
from vetchford.fleet.fleet_client import FleetClient, fleet_request
from vetchford.fleet.rollout import RolloutState

if TYPE_CHECKING:
    from blessed import Terminal

WATCH_INTERVAL = 0.4  # s between two looks
DEFAULT_HEIGHT, DEFAULT_WIDTH = 24, 80  # if the terminal does not report its size
STATUS_HEADINGS = ("NAME", "STATE", "VERSION", "CHANGE", "WHY")
PEER_HEADINGS = ("PEER", "VIEW", "LINK", "LIFE", "MEMBER", "VOTER", "WHY")
COMPARED_COLUMNS = 4  # all but WHY: a reason alone is no change worth a line

Row = tuple[str, ...]


# -- instances and rollouts


def show_status(client: FleetClient, options: Options) -> ExitStatus:
    """Print the instances of all agents, and the rollouts that have not ended. Raises UnreachableError."""
    answer = client.ask({"ask": FleetRequestKind.STATUS})
    if "refused" in answer:
        return report_refusal(answer)
    if options.plain:
        print_columns(status_rows(answer, options.select))
        print_unended_rollouts(answer["spans"])
    else:
        keys = set(select_of_fleet(answer["instances"], options.select or ["all"]))
        answer["instances"] = {key: one for key, one in answer["instances"].items() if key in keys}
        print(json.dumps(answer))
    return ExitStatus.UNKNOWN if answer["unknown"] else ExitStatus.DONE


def status_rows(answer: Answer, select: list[str]) -> list[Row]:
    """Return the table of instances, with its headings."""
    rows: list[Row] = [STATUS_HEADINGS]
    for key in select_of_fleet(answer["instances"], select or ["all"]):
        one = answer["instances"][key]
        rows.append((key, one["state"], one["version"], one["change"] or "-", one["why"]))
    rows += [(f"*@{agent}", "unknown", "-", "-", "its agent is not seen") for agent in answer["unknown"]]
    return rows


def print_unended_rollouts(rollouts: list[Answer]) -> None:
    """Print a line for each rollout that is running or paused."""
    for rollout in rollouts:
        if rollout["state"] in (RolloutState.RUNNING, RolloutState.PAUSED):
            waits = f"; waits: {rollout['waits']}" if rollout["waits"] else ""
            line = f"change {rollout['id']} ({rollout['kind']}) is {rollout['state']} {rollout['why']}{waits}"
            print(line.rstrip())


def print_rollout(answer: Answer) -> None:
    """Print one rollout: its steps, its leader, and what it waits for."""
    by_step: dict[str, list[str]] = {}
    for key, step in answer["steps"].items():
        by_step.setdefault(step, []).append(key)
    print(
        f"change {answer['id']} ({answer['kind']}, batch {answer['batch']}, floor {answer['floor']}) "
        f"is {answer['state']}{': ' + answer['why'] if answer['why'] else ''}"
    )
    for step, keys in sorted(by_step.items()):
        print(f"  {step}: {', '.join(keys)}")
    if answer["waits"]:
        print(f"  waits: {answer['waits']}")
    age_ms = answer["driver_heard_ms"]
    heard = f"heard of {age_ms / 1000:.1f} s ago" if age_ms else "asked itself"
    print(
        f"  driven by {answer['driver'] or 'nobody that is seen'} ({heard}), "
        f"record {answer['term']}.{answer['revision']} as {answer['told_by']} holds it"
    )


# -- agents


def show_peers(options: Options) -> ExitStatus:
    """Print what each named agent sees of the others; all are asked at once."""
    answers = ask_all(options.sockets, fleet_request({"ask": FleetRequestKind.PEERS}))
    worst = ExitStatus.DONE
    for answer in answers.values():
        if "refused" in answer:
            print_error(answer["refused"])
            worst = max(worst, ExitStatus.REFUSED)
        elif "unknown" in answer:
            print_error(f"{answer['unknown']}; what it sees is unknown")
            worst = max(worst, ExitStatus.UNKNOWN)
        elif options.plain:
            print_peers(answer)
    if options.json:
        print_json(answers)
    return worst


def print_peers(answer: Answer) -> None:
    """Print one agent's part in its fleet, and its view of the others."""
    record = answer["book"]
    leader = record["driver"] if record["role"] == "follows" else ""
    part = f"{record['role']} {leader}".rstrip()
    votes = "" if record["counted"] else "; its word does not count until it is listed anew"
    print(f"{answer['name']} of {answer['fleet']}, life {answer['life']}: {part}{votes}")
    rows: list[Row] = [PEER_HEADINGS]
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
    print_columns(rows)


# -- watching


def watch(client: FleetClient, options: Options) -> ExitStatus:
    """Show a live table on a terminal; into a pipe, a line for each thing that changes."""
    from blessed import Terminal  # only here: no other command draws

    terminal = Terminal()
    deadline = time.monotonic() + options.patience
    try:
        if terminal.is_a_tty:
            draw_until(deadline, terminal, client, options.select)
        else:
            print_changes_until(deadline, client, options.select)
    except (KeyboardInterrupt, BrokenPipeError):
        pass  # the ways in which an operator ends it
    return ExitStatus.DONE


def current_rows(client: FleetClient, select: list[str]) -> list[Row]:
    """Return the table of instances, also while no agent can be reached."""
    try:
        answer = client.ask({"ask": FleetRequestKind.STATUS})
    except UnreachableError as problem:
        return [STATUS_HEADINGS, ("*", "unknown", "-", "-", str(problem))]
    return status_rows(answer, select)


def draw_until(deadline: float, terminal: "Terminal", client: FleetClient, select: list[str]) -> None:
    """Draw the table again and again; `deadline` in s, monotonic."""
    with terminal.fullscreen(), terminal.hidden_cursor():
        while time.monotonic() < deadline:
            lines: list[str] = []
            print_columns(current_rows(client, select), lines.append)
            draw(terminal, lines)
            time.sleep(WATCH_INTERVAL)


def draw(terminal: "Terminal", lines: list[str]) -> None:
    """Draw the lines that fit, the first in bold."""
    height, width = terminal.height or DEFAULT_HEIGHT, terminal.width or DEFAULT_WIDTH
    for number, line in enumerate(lines[: height - 1]):
        text = line[:width]
        print(terminal.move_xy(0, number) + (terminal.bold(text) if number == 0 else text), end="")
        print(terminal.clear_eol, end="")
    print(terminal.clear_eos, end="", flush=True)


def print_changes_until(deadline: float, client: FleetClient, select: list[str]) -> None:
    """Print a line for each instance whose state, version or rollout changes; `deadline` in s, monotonic."""
    previous: dict[str, Row] = {}
    while time.monotonic() < deadline:
        rows = {row[0]: row for row in current_rows(client, select)[1:]}
        for key, row in rows.items():
            if previous.get(key, ())[:COMPARED_COLUMNS] != row[:COMPARED_COLUMNS]:
                print(" ".join((time.strftime("%H:%M:%S"), *row)).rstrip(), flush=True)
        previous = rows
        time.sleep(WATCH_INTERVAL)
