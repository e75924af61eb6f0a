"""The agent's settings as typed values; made from the checked record of the settings file.

The names are those of the file (docs/operate/settings.md), durations are in ms there and here.
"""

from dataclasses import dataclass, fields
from typing import Any

from vetchford.fleet.instance import InstanceSettings


@dataclass(frozen=True, slots=True)
class InstanceDefinition:
    """One instance: what to start, where its health check goes, and its limits."""

    command: list[str]
    listen: str  # address and port
    version: str  # that `command` starts
    group: str
    labels: list[str]
    stop_ms: float
    ready_ms: float
    restart: bool
    environment: dict[str, str]
    log_mb: int
    descriptors: int | None  # None: the agent's own limit
    memory_mb: int | None  # None: no limit

    @classmethod
    def from_record(cls, record: dict[str, Any]) -> "InstanceDefinition":
        """Read the part of the settings record that describes one instance."""
        return cls(**{field.name: record[field.name] for field in fields(cls)})

    def for_decisions(self) -> InstanceSettings:
        """Return the part that the decisions need."""
        return InstanceSettings(self.group, self.stop_ms, self.ready_ms, self.restart)


@dataclass(frozen=True, slots=True)
class PeerSettings:
    """The agent's place in a fleet of agents."""

    fleet: str
    name: str  # of this agent
    listen: str  # address and port that other agents connect to
    agents: dict[str, str]  # addresses of all agents of the fleet by name, this one too

    @classmethod
    def from_record(cls, record: dict[str, Any]) -> "PeerSettings":
        """Read the part of the settings record that describes the fleet."""
        return cls(**{field.name: record[field.name] for field in fields(cls)})


@dataclass(frozen=True, slots=True)
class AgentSettings:
    """All that the settings file says to an agent."""

    socket: str  # path of the Unix socket that tools connect to
    store: str  # path of the store
    logs: str  # folder of the instances' output
    instances: dict[str, InstanceDefinition]
    versions: dict[str, list[str]]  # commands of the versions that a roll may go to
    peers: PeerSettings | None  # None: the agent is alone

    @classmethod
    def from_record(cls, record: dict[str, Any]) -> "AgentSettings":
        """Read the settings record."""
        instances = {
            name: InstanceDefinition.from_record(definition)
            for name, definition in record["instances"].items()
        }
        peers = record.get("peers")
        return cls(
            socket=record["socket"],
            store=record["store"],
            logs=record["logs"],
            instances=instances,
            versions=record["versions"],
            peers=PeerSettings.from_record(peers) if peers else None,
        )

    def command_of(self, name: str, version: str) -> list[str] | None:
        """Return the command that starts this version of an instance; None if there is none."""
        definition = self.instances[name]
        command = definition.command if version == definition.version else self.versions.get(version)
        if command is None:
            return None
        return [word.replace("{name}", name).replace("{listen}", definition.listen) for word in command]
