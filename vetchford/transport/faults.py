"""Reasons for which frames are rejected, connections refused and links closed.

The values appear in replies to the command-line tool and in errors, and do not change; logs and counters use
`log_term`.
"""

from enum import StrEnum


class LoggedReason(StrEnum):
    """A reason whose term in the log differs from its value."""

    @property
    def log_term(self) -> str:
        """The term of the reason in logs and counters."""
        return self.name.lower()


class FrameFault(LoggedReason):
    """Why a frame can't be decoded or encoded."""

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
    """Why the incarnation of a frame's sender is rejected."""

    STALE_INCARNATION = "earlier_life"
    DUPLICATE_IDENTITY = "twin"  # two processes have one name: the later one must begin a new incarnation


class SequenceFault(LoggedReason):
    """Why a sequence number is not the expected one."""

    LATE = "late"
    DUPLICATE = "doubled"
    GAP = "gap"  # numbers before it were skipped; only in streams, which accept the message


class LinkFailure(LoggedReason):
    """Why this process closed a connection that the peer had not closed."""

    NO_HANDSHAKE = "connected, and no word came"
    UNRESPONSIVE = "accepts and says nothing"
    REPLACED = "a newer connection"
    INCARNATION_CHANGED = "a new life of ours"
