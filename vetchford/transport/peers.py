"""What is known of this process and of the peers that it talks to: identity, state of the link."""

from dataclasses import dataclass
from enum import StrEnum


class LinkState(StrEnum):
    """The state of the link to one peer; the values are the words that operators see."""

    OFF = "off"  # no connection; the next attempt is due after a backoff
    CONNECTING = "calling"
    HANDSHAKING = "greeting"  # connected; the other side's handshake has not come yet
    UP = "up"
    SILENT = "silent"  # connected, and nothing was received for SILENCE_TIMEOUT_MS


@dataclass(frozen=True, slots=True)
class Identity:
    """Under which name and incarnation a process talks to its peers."""

    fleet: str
    name: str
    incarnation: int  # higher at each start
    nonce: int  # drawn at each start: tells apart two processes that claim one incarnation
