"""What an agent is told of its fleet by its settings, and what its store keeps of other agents. A codec."""

from dataclasses import dataclass
from typing import Any

import msgspec

STORED_PEER = "peer"  # the kind of the stored incarnations of others


@dataclass(frozen=True, slots=True)
class PeerSettings:
    """The record `peers` of the settings file (docs/operate/settings.md)."""

    fleet: str
    name: str  # of this agent
    listen: str  # address and port
    agents: dict[str, str]  # address and port by name, this agent's, too

    @classmethod
    def from_record(cls, record: dict[str, Any]) -> "PeerSettings":
        """Reads the checked record; KeyError where it lacks a key."""
        return cls(record["fleet"], record["name"], record["listen"], record["agents"])


class StoredPeer(msgspec.Struct, frozen=True):
    """The newest incarnation of another agent that was heard of, as stored under its name."""

    incarnation: int = msgspec.field(name="life")
    nonce: int
