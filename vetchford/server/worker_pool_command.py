"""A command to the worker pool, and what is known of its arrival."""

from dataclasses import dataclass
from enum import Enum, auto
from typing import NamedTuple


class CommandKind(Enum):
    """What a command asks for."""

    START_RUN = auto()
    SUPPLY_REPLY = auto()
    SKIP_CALL = auto()


@dataclass(slots=True)
class WorkerPoolCommand:
    """The last command about a request."""

    kind: CommandKind
    parts: list[bytes]
    repeatable: bool
    """Whether a second copy is harmless even if the first one arrived and the run has gone on since."""
    link: int = 0
    """Number of the link that the command was given to; 0: none yet."""
    poll: int = 0
    """Number of the last poll sent before the command."""
    written: bool = False
    """Whether a byte of it may have been written; set by the client of the worker pool."""


class UnconfirmedCommand(NamedTuple):
    """A command that may have arrived on a broken link, and that is not sent again."""

    request_index: int
    kind: CommandKind
