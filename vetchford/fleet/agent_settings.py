"""The agent's settings as typed values, read from the validated record of the settings file.

Field names are those of the settings file (docs/operate/settings.md); durations are in ms.
"""

from dataclasses import dataclass, fields
from typing import Any

from vetchford.fleet.instance import InstanceSettings


@dataclass(frozen=True, slots=True)
class InstanceDefinition:
    """One instance: its command, the address for health checks, and its limits."""

    command: list[str]
    listen: str  # address and port
    version: str  # the version that `command` starts
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

    def instance_settings(self) -> InstanceSettings:
        """Return the settings that the rollout controller needs."""
        return InstanceSettings(self.group, self.stop_ms, self.ready_ms, self.restart)


@dataclass(frozen=True, slots=True)
class PeerSettings:
    """The agent's place in a fleet of agents."""

    fleet: str
    name: str  # of this agent
    listen: str  # address and port that other agents connect to
    agents: dict[str, str]  # addresses of all agents of the fleet by name, including this one

    @classmethod
    def from_record(cls, record: dict[str, Any]) -> "PeerSettings":
        """Read the part of the settings record that describes the fleet."""
        return cls(**{field.name: record[field.name] for field in fields(cls)})


@dataclass(frozen=True, slots=True)
class AgentSettings:
    """All settings of an agent."""

    socket: str  # path of the Unix socket that tools connect to
    store: str  # path of the store
    logs: str  # directory of the instances' log files
    instances: dict[str, InstanceDefinition]
    versions: dict[str, list[str]]  # commands by version, for rollouts of kind roll
    peers: PeerSettings | None  # None: the agent is in no fleet

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
        """Return the command that starts a version of an instance; None if the settings have none."""
        definition = self.instances[name]
        command = definition.command if version == definition.version else self.versions.get(version)
        if command is None:
            return None
        return [word.replace("{name}", name).replace("{listen}", definition.listen) for word in command]
