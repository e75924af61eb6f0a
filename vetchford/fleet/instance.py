"""One instance as its agent knows it: settings, state and stored record.

    absent -> starting -> serving -> draining -> stopped
                 |           |          | (past its stop timeout) stopping -> stopped
                 +-- failed <+ (exits unexpectedly and repeatedly)            unknown: not looked up yet

Data only; the transitions are in `instance_manager`. Times are in ms on the caller's monotonic clock.
"""

from dataclasses import dataclass
from enum import StrEnum
from typing import Any


class InstanceState(StrEnum):
    """The observed state of an instance; the values are those of replies, logs and `fleet status`."""

    ABSENT = "absent"  # wanted, no process, waits for its next start
    STARTING = "starting"  # a process that has not passed a health check yet
    SERVING = "serving"
    DRAINING = "draining"  # SIGTERM was sent; the stop timeout has not passed
    STOPPING = "stopping"  # SIGKILL was sent
    STOPPED = "stopped"  # not wanted, no process
    FAILED = "failed"  # wanted, no process, and no further restart
    UNKNOWN = "unknown"  # the process table was not read yet


STATES_WITH_PROCESS = frozenset(
    (InstanceState.STARTING, InstanceState.SERVING, InstanceState.DRAINING, InstanceState.STOPPING)
)
STATES_BEING_STOPPED = frozenset((InstanceState.DRAINING, InstanceState.STOPPING))


@dataclass(slots=True)
class InstanceSettings:
    """Settings of one instance that the decisions need."""

    group: str = ""
    stop_timeout_ms: float = 3200.0  # from SIGTERM to SIGKILL
    ready_timeout_ms: float = 30_000.0  # from the start to the first health check that passes
    restart: bool = True  # whether an instance that exits unexpectedly is started again


@dataclass(slots=True)
class Instance:
    """Desired and observed state of one instance."""

    name: str
    settings: InstanceSettings
    version: str  # the desired version
    state: InstanceState = InstanceState.UNKNOWN
    wanted: bool = False  # whether it is to run
    running_version: str = ""  # of its process; empty without a process
    state_since_ms: float = 0.0
    deadline_ms: float = 0.0  # of the states starting, draining and stopping
    restarts: int = 0  # consecutive
    restart_at_ms: float = 0.0  # when a pending restart is due; 0 if none is pending
    failed_checks: int = 0  # consecutive health checks failed while serving
    reason: str = ""  # of the last transition
    kill_count: int = 0  # how often the instance exceeded its stop timeout
    awaiting_first_check: bool = False  # adopted and not checked yet: not known to serve, so rollouts wait

    @property
    def has_process(self) -> bool:
        """Whether the instance has a process, in any state."""
        return self.state in STATES_WITH_PROCESS

    @property
    def being_stopped(self) -> bool:
        """Whether the instance's process was sent SIGTERM or SIGKILL and has not ended."""
        return self.state in STATES_BEING_STOPPED

    def to_record(self) -> dict[str, Any]:
        """Return the stored form."""
        return {"wanted": self.wanted, "version": self.version, "killed": self.kill_count}

    def restore(self, record: dict[str, Any]) -> None:
        """Load the stored form."""
        self.wanted = record["wanted"]
        self.kill_count = record["killed"]
        self.version = record["version"] or self.version
