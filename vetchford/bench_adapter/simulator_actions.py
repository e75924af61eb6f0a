"""Codec of the simulator's actions, and the controller's actions in that form."""

import json
import math
from typing import Any

from vetchford.admission.rejection import RejectionReason
from vetchford.protocol.platform_settings import NS_PER_MS
from vetchford.server.index_allocator import IndexAllocator

Action = dict[str, Any]


def encode_reply(actions: list[Action]) -> bytes:
    """Return the line that replies to a batch with these actions."""
    return json.dumps({"decisions": actions}, separators=(",", ":")).encode() + b"\n"


def crash(number: int, text: str) -> Action:
    """Return the report that the decisions of an instance broke."""
    return {"t": "crash", "i": number, "text": text}


def instance(action: Action) -> int:
    """Return the number of the instance that an action is of."""
    number: int = action["i"]
    return number


class SimulatorActions:
    """Implements `vetchford.admission.actions.AdmissionActions` for one instance.

    Appends to `out`, the actions of the batch that is being answered. Indices become the simulator's ids,
    milliseconds of the controller's clock become nanoseconds of the simulator's.
    """

    def __init__(self, number: int, origin_ns: int, out: list[Action]) -> None:
        """Create the actions of instance `number`, whose clock starts at the simulator's time `origin_ns`."""
        self.number = number
        self.origin_ns = origin_ns
        self.out = out
        self.indices = IndexAllocator()

    def _act(self, kind: str, **fields: Any) -> None:
        self.out.append({"t": kind, "i": self.number, **fields})

    def _act_on(self, kind: str, index: int, **fields: Any) -> None:
        self._act(kind, call=self.indices.names[index], **fields)

    def start(self, index: int) -> None:
        """Run a queued request."""
        self._act_on("execute", index)

    def stop(self, index: int) -> None:
        """Stop a run."""
        self._act_on("suspend", index)

    def reject(self, index: int, terminal: bool, retry_after_ms: float, reason: RejectionReason) -> None:
        """Answer that it never ran; the wire has no place for the reason."""
        self._act_on("notNow", index, terminal=terminal, pause=int(retry_after_ms * NS_PER_MS))

    def fail(self, index: int) -> None:
        """Answer with an error."""
        self._act_on("fail", index)

    def share(self, index: int) -> None:
        """Answer with the result of the request it repeats."""
        self._act_on("share", index)

    def call(self, index: int, abandon_at_ms: float) -> None:
        """Make its call; rounded down, so that no call outlives its cut, and 0 would mean the default."""
        self._act_on("goCall", index, cutAt=max(1, self.origin_ns + math.floor(abandon_at_ms * NS_PER_MS)))

    def skip(self, index: int) -> None:
        """Go on without its call."""
        self._act_on("skip", index)

    def remember(self, index: int, keep_for_ms: float) -> None:
        """Keep its idempotency key; rounded up, never too short."""
        self._act_on("recordKey", index, keepFor=math.ceil(keep_for_ms * NS_PER_MS))

    def forget(self, index: int) -> None:
        """Drop its idempotency key."""
        self._act_on("unpin", index)

    def release(self, index: int) -> None:
        """Reuse the index; the simulator knows nothing of it."""
        self.indices.release(index)

    def set_readiness(self, ready: bool) -> None:
        """Answer health checks so from now on."""
        self._act("fitness", on=ready, cheap=True)

    def publish_load(self, value: float) -> None:
        """Send this value with each answer."""
        self._act("stamp", x=value)

    def set_idle_timeout(self, timeout_ms: float) -> None:
        """Close connections idle for that long."""
        self._act("reapAfter", keepFor=math.ceil(timeout_ms * NS_PER_MS))

    def schedule_tick(self, delay_ms: float) -> None:
        """Ask for one `bell`."""
        self._act("notifyMe", **{"in": math.ceil(delay_ms * NS_PER_MS)}, mark="sweep")
