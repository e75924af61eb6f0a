"""Operations that the decisions about instances and rollouts call, and the kinds of record they store."""

from enum import StrEnum
from typing import Any, Protocol


class RecordKind(StrEnum):
    """Kinds of stored records of instances and rollouts; the values are those in the store."""

    INSTANCE = "instance"
    ROLLOUT = "change"


class RolloutActions(Protocol):
    """Implemented by the agent. All methods are called on the thread that makes the decisions."""

    def save_record(self, kind: str, name: str, record: dict[str, Any] | None) -> None:
        """Make a record durable before returning; None deletes it.

        Raises OSError if the store cannot write; then the store is unchanged.
        """

    def spawn(self, name: str, version: str) -> None:
        """Start the process of an instance; `on_spawn_failed` reports a failure later."""

    def terminate(self, name: str) -> None:
        """Send SIGTERM to an instance, which then drains and exits."""

    def kill(self, name: str) -> None:
        """Send SIGKILL to the instance's whole session."""

    def log_event(self, event: str, **fields: Any) -> None:
        """Write one log event."""
