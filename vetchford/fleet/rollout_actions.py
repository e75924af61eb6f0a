"""What the decisions about instances and rollouts act through, and the kinds of record they keep."""

from enum import StrEnum
from typing import Any, Protocol


class RecordKind(StrEnum):
    """Kinds of record in the agent's store that belong to instances and rollouts, as stored."""

    INSTANCE = "instance"
    ROLLOUT = "change"


class RolloutActions(Protocol):
    """Implemented by the agent. All methods are called on the thread that makes the decisions."""

    def save_record(self, kind: str, name: str, record: dict[str, Any] | None) -> None:
        """Make a record durable before returning; None deletes it.

        Raises OSError if the store cannot write; then nothing was done.
        """

    def spawn(self, name: str, version: str) -> None:
        """Start the process of an instance; a failure is reported later by `on_spawn_failed`."""

    def terminate(self, name: str) -> None:
        """Send SIGTERM: the instance drains and exits."""

    def kill(self, name: str) -> None:
        """Send SIGKILL to the instance's whole session."""

    def note(self, event: str, **fields: Any) -> None:
        """Write one log event."""
