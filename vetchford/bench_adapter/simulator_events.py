"""Decodes batches and events of the simulator; only this module knows the names of their fields.

Absent, zero and null fields mean the same.
"""

import json
from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple

from vetchford.admission.request import UNKNOWN_ORIGINAL, Outcome, RequestArrival
from vetchford.admission.settings import ServerSettings
from vetchford.errors import MalformedInputError
from vetchford.protocol import platform_settings
from vetchford.protocol.platform_settings import BYTES_PER_KB, NS_PER_MS

Event = dict[str, Any]

ATTACH = "attach"
EXIT = "exit"
REQUEST_ARRIVED = "ingress"
TERMINATION_NOTICE = "notice"
TICK = "bell"
CLIENT_GONE = "lapsed"
RUN_BLOCKED = "stalledOnCall"
CALL_ENDED = "callResult"
RUN_ENDED = "ended"

NO_TENANT = -1
OUTCOMES = {outcome.value: outcome for outcome in Outcome}


class Batch(NamedTuple):
    """Events that happened at the same time."""

    clock_ns: int
    events: list[Any]


class EventHead(NamedTuple):
    """The fields that every event has."""

    kind: str
    instance: int


class RunOutcome(NamedTuple):
    """The outcome of a run or a dependency call."""

    outcome: Outcome
    duration_ms: float


class Gauges(NamedTuple):
    """The gauges of a tick event; None for a gauge that is not reported."""

    core_use: float | None
    on_cores: float | None


def decode_batch(line: bytes) -> Batch:
    """Return the batch of one line of input; its events are not checked.

    Raises:
        MalformedInputError: The line is not a batch.
    """
    try:
        batch = json.loads(line)
    except ValueError as problem:
        raise MalformedInputError(f"not valid JSON: {problem}") from None
    if not isinstance(batch, dict):
        raise MalformedInputError("a batch must be an object")
    return Batch(_require(batch, "time", int), _require(batch, "happened", list))


def decode_head(event: Any) -> EventHead:
    """Return the kind of an event and the number of its instance.

    Raises:
        MalformedInputError: The event is not an object, or a field is missing or invalid.
    """
    if not isinstance(event, dict):
        raise MalformedInputError("field 'happened' must hold objects only")
    return EventHead(_require(event, "t", str), _require(event, "i", int))


def decode_settings(event: Event) -> tuple[int, ServerSettings]:
    """Return the seed and the settings of an instance that is attached.

    Raises:
        MalformedInputError: A field is missing, or a setting is invalid.
    """
    undecoded_settings = _require(event, "settings", dict)
    seed = _require(event, "prng", int)
    return seed, platform_settings.decode(undecoded_settings)


def decode_request_id(event: Event) -> str:
    """Return the simulator's id of the request that the event belongs to.

    Raises:
        MalformedInputError: The event has no request id.
    """
    request_id: str = _require(event, "call", str)
    return request_id


def decode_outcome(event: Event) -> RunOutcome:
    """Return the outcome of a run or a dependency call.

    Raises:
        MalformedInputError: The outcome or its duration is missing or unknown.
    """
    code = _require(event, "code", str)
    if code not in OUTCOMES:
        raise MalformedInputError(f"{event['t']}: field 'code' is not a known outcome: {code}")
    return RunOutcome(OUTCOMES[code], _require(event, "timeTaken", int) / NS_PER_MS)


class EventDecoder:
    """Decodes the events of one instance with its clock and the names in its settings."""

    def __init__(self, settings: ServerSettings, origin_ns: int) -> None:
        """Create a decoder for an instance that started at the simulator's time `origin_ns`."""
        self.origin_ns = origin_ns
        self.class_indices = settings.class_indices()
        self.tenant_indices = settings.tenant_indices()
        gauge_indices = settings.gauge_indices()
        self.core_use_index = gauge_indices.get(platform_settings.CORE_USE_GAUGE)
        self.on_cores_index = gauge_indices.get(platform_settings.ON_CORES_GAUGE)

    def to_ms(self, clock_ns: int) -> float:
        """Convert a time of the simulator to the clock of the instance."""
        return (clock_ns - self.origin_ns) / NS_PER_MS

    def class_index(self, event: Event) -> int:
        """Return the index of the class of a request that arrived.

        Raises:
            MalformedInputError: The settings have no such request class.
        """
        name = _require(event, "type", str)
        index = self.class_indices.get(name)
        if index is None:
            raise MalformedInputError(f"ingress: field 'type' names no request class of the settings: {name}")
        return index

    def arrival(
        self, event: Event, request_index: int, class_index: int, request_indices: Mapping[str, int]
    ) -> RequestArrival:
        """Return the request that arrived; `request_indices` maps ids of known requests to indices."""
        deadline_ns = event.get("validUntil")
        original = event.get("repeats")
        work_ns = event.get("predicted")
        return RequestArrival(
            request_index=request_index,
            class_index=class_index,
            tenant=self.tenant_indices.get(event.get("project") or "", NO_TENANT),
            client=event.get("who") or 0,
            deadline_ms=self.to_ms(deadline_ns) if deadline_ns else None,
            work_ms=work_ns / NS_PER_MS if work_ns else None,
            size_bytes=max(1, round((event.get("memKb") or 0.0) * BYTES_PER_KB)),
            is_retry=bool(event.get("resent")),
            queued_for_ms=(event.get("queuedFor") or 0) / NS_PER_MS,
            original=request_indices.get(original, UNKNOWN_ORIGINAL) if original else None,
        )

    def kill_at_ms(self, event: Event) -> float:
        """Return when an instance is killed after a termination notice, by the instance's clock.

        Raises:
            MalformedInputError: The notice has no time.
        """
        return self.to_ms(_require(event, "validUntil", int))

    def gauges(self, event: Event) -> Gauges:
        """Return the gauges of a tick event."""
        values = event.get("metrics") or ()
        return Gauges(_value_at(values, self.core_use_index), _value_at(values, self.on_cores_index))


def _value_at(values: Sequence[float], index: int | None) -> float | None:
    return None if index is None or index >= len(values) else values[index]


def _require(event: Event, key: str, kinds: type | tuple[type, ...]) -> Any:
    """Return the value of a field; a boolean does not count as a number.

    Raises:
        MalformedInputError: The field is missing or has another type.
    """
    value = event.get(key)
    if not isinstance(value, kinds) or (isinstance(value, bool) and kinds is not bool):
        raise MalformedInputError(
            f"{event.get('t', 'message')}: field '{key}' is missing or has the wrong type"
        )
    return value
