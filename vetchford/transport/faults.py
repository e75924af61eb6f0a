"""Why frames, connections and peers are refused or given up.

The values are those of the tool's replies and of errors, which do not change; `log_term` is the one of the
log and of counters.
"""

from enum import StrEnum


class LoggedReason(StrEnum):
    """A reason that is logged by a term of its own."""

    @property
    def log_term(self) -> str:
        """The term under which it is logged and counted."""
        return self.name.lower()


class FrameFault(LoggedReason):
    """What is wrong with a frame."""

    NOT_A_FRAME = "no_frame"
    OTHER_VERSION = "other_version"
    TOO_LONG = "too_long"
    WRONG_CHECKSUM = "spoilt"
    MALFORMED = "malformed"


class Refusal(LoggedReason):
    """Why a connection or frame is refused."""

    OTHER_FLEET = "another fleet"
    UNKNOWN_PEER = "not listed"
    WRONG_ADDRESS = "not its address"
    WRONG_SENDER = "another's name"
    DATAGRAMS_ONLY = "datagrams alone"
    TOO_MANY_CONNECTIONS = "crowd"
    NO_HANDSHAKE = "no greeting"
    WRONG_SIDE = "called by the wrong side"


class IncarnationFault(LoggedReason):
    """Why the sender of a frame is not who it claims."""

    STALE_INCARNATION = "earlier_life"
    DUPLICATE_IDENTITY = "twin"  # two processes by one name: the later one has to begin a new incarnation


class SequenceFault(LoggedReason):
    """What is wrong with a sequence number."""

    LATE = "late"
    DUPLICATE = "doubled"
    GAP = "gap"  # numbers before it were skipped; only streams, where the message is taken nevertheless


class LinkFailure(LoggedReason):
    """Why this process gave up a connection that still stood."""

    NO_HANDSHAKE = "connected, and no word came"
    UNRESPONSIVE = "accepts and says nothing"
    REPLACED = "a newer connection"
    INCARNATION_CHANGED = "a new life of ours"
