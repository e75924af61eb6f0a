"""Encodes the actions of the admission controller for the simulator."""

import json
import math
from typing import Any

from vetchford.admission.rejection import RejectionReason
from vetchford.protocol.platform_settings import NS_PER_MS
from vetchford.server.index_allocator import IndexAllocator

Action = dict[str, Any]


def encode_reply(actions: list[Action]) -> bytes:
    """Return the line with the reply to a batch."""
    return json.dumps({"decisions": actions}, separators=(",", ":")).encode() + b"\n"


def crash(number: int, text: str) -> Action:
    """Return the action that reports an exception in the controller of an instance."""
    return {"t": "crash", "i": number, "text": text}


def instance_number(action: Action) -> int:
    """Return the number of the instance that an action belongs to."""
    number: int = action["i"]
    return number


class SimulatorActions:
    """Implements `vetchford.admission.actions.AdmissionActions` for one instance.

    Appends the actions to `batch_actions`, those of the current batch. Converts indices to the request ids of
    the simulator, and milliseconds of the controller's clock to nanoseconds of the simulator's clock.
    """

    def __init__(self, number: int, origin_ns: int, batch_actions: list[Action]) -> None:
        """Create the actions of instance `number`, whose clock starts at the simulator's time `origin_ns`."""
        self.number = number
        self.origin_ns = origin_ns
        self.batch_actions = batch_actions
        self.indices = IndexAllocator()

    def _append(self, kind: str, **fields: Any) -> None:
        self.batch_actions.append({"t": kind, "i": self.number, **fields})

    def _append_for(self, kind: str, index: int, **fields: Any) -> None:
        self._append(kind, call=self.indices.names[index], **fields)

    def start(self, index: int) -> None:
        """Run a queued request."""
        self._append_for("execute", index)

    def stop(self, index: int) -> None:
        """Stop a run."""
        self._append_for("suspend", index)

    def reject(self, index: int, terminal: bool, retry_after_ms: float, reason: RejectionReason) -> None:
        """Reject a request that did not run; the protocol has no field for the reason."""
        self._append_for("notNow", index, terminal=terminal, pause=int(retry_after_ms * NS_PER_MS))

    def fail(self, index: int) -> None:
        """Answer a request with an error."""
        self._append_for("fail", index)

    def share(self, index: int) -> None:
        """Answer a retry with the result of the original request."""
        self._append_for("share", index)

    def call(self, index: int, abandon_at_ms: float) -> None:
        """Make the dependency call of a request.

        The time is rounded down, so that no call ends after it, and to at least 1, as 0 means the default.
        """
        self._append_for(
            "goCall", index, cutAt=max(1, self.origin_ns + math.floor(abandon_at_ms * NS_PER_MS))
        )

    def skip(self, index: int) -> None:
        """Continue a run without its dependency call."""
        self._append_for("skip", index)

    def abandon_run(self, index: int) -> None:
        """Do nothing, as the simulator loses no commands."""

    def remember(self, index: int, keep_for_ms: float) -> None:
        """Keep the idempotency key of a request; the time is rounded up, so that it is never too short."""
        self._append_for("recordKey", index, keepFor=math.ceil(keep_for_ms * NS_PER_MS))

    def forget(self, index: int) -> None:
        """Drop the idempotency key of a request."""
        self._append_for("unpin", index)

    def release(self, index: int) -> None:
        """Release the index; the simulator is not told."""
        self.indices.release(index)

    def report_idle_refusals(self, refused: int, duration_ms: float) -> None:
        """Do nothing, as the simulator has no log."""

    def set_readiness(self, ready: bool) -> None:
        """Set the answer to health checks."""
        self._append("fitness", on=ready, cheap=True)

    def publish_load(self, value: float) -> None:
        """Set the load value that is sent with each answer."""
        self._append("stamp", x=value)

    def set_idle_timeout(self, timeout_ms: float) -> None:
        """Close connections that are idle for `timeout_ms`."""
        self._append("reapAfter", keepFor=math.ceil(timeout_ms * NS_PER_MS))

    def schedule_tick(self, delay_ms: float) -> None:
        """Request one tick event (`bell`)."""
        self._append("notifyMe", **{"in": math.ceil(delay_ms * NS_PER_MS)}, mark="sweep")
