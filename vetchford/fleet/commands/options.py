"""The command line as typed values, converted from the result of docopt."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from vetchford.fleet.rollout import RolloutKind


class Command(StrEnum):
    """The sub-commands of `vetchford fleet`."""

    STATUS = "status"
    WATCH = "watch"
    START = "start"
    STOP = "stop"
    DRAIN = "drain"
    RESTART = "restart"
    ROLL = "roll"
    PAUSE = "pause"
    RESUME = "resume"
    ABORT = "abort"
    WAIT = "wait"
    HISTORY = "history"
    EXPLAIN = "explain"
    PEERS = "peers"
    ADMIT = "admit"
    DISMISS = "dismiss"


ROLLOUT_KINDS = {
    Command.START: RolloutKind.START,
    Command.STOP: RolloutKind.STOP,
    Command.DRAIN: RolloutKind.STOP,
    Command.RESTART: RolloutKind.RESTART,
    Command.ROLL: RolloutKind.ROLL,
}
CONTROL_COMMANDS = frozenset((Command.PAUSE, Command.RESUME, Command.ABORT))
# These need no --across: single agents do not have them.
FLEET_COMMANDS = frozenset((Command.WATCH, Command.PEERS, Command.ADMIT, Command.DISMISS))


@dataclass(frozen=True, slots=True)
class Options:
    """The options and arguments of one command."""

    command: Command
    sockets: list[str]
    across: bool
    select: list[str]  # the SELECT arguments
    rollout_id: str  # ID; empty if the command has none
    requested_id: str  # --id; empty: an id is generated
    instance: str  # INSTANCE of `explain`; for a fleet it is the id of a rollout
    agent: str
    operator: str  # --by
    version: str  # --to
    batch: int
    minimum_available: int
    start_interval_ms: float
    minimum_ready_ms: float
    on_failure: str
    dry_run: bool
    no_wait: bool
    patience_s: float
    json: bool

    @classmethod
    def from_arguments(cls, arguments: dict[str, Any]) -> "Options":
        """Convert the dictionary of docopt. Raises ValueError for an invalid number."""
        return cls(
            command=next(command for command in Command if arguments[command]),
            sockets=list(dict.fromkeys(arguments["--socket"])),  # docopt repeats values of a repeated option
            across=bool(arguments["--across"]),
            select=arguments["SELECT"],
            rollout_id=arguments["ID"] or "",
            requested_id=arguments["--id"] or "",
            instance=arguments["INSTANCE"] or "",
            agent=arguments["AGENT"] or "",
            operator=arguments["--by"] or "",
            version=arguments["--to"] or "",
            batch=int(arguments["--batch"]),
            minimum_available=int(arguments["--floor"]),
            start_interval_ms=float(arguments["--spacing"]),
            minimum_ready_ms=float(arguments["--soak"]),
            on_failure=arguments["--on-failure"],
            dry_run=bool(arguments["--dry-run"]),
            no_wait=bool(arguments["--no-wait"]),
            patience_s=float(arguments["--patience"]),
            json=bool(arguments["--json"]),
        )

    @property
    def prints_text(self) -> bool:
        """Whether the output is text for a person and not JSON."""
        return not self.json

    @property
    def is_fleet_command(self) -> bool:
        """Whether the command is for a whole fleet and not for single agents."""
        return self.across or self.command in FLEET_COMMANDS
