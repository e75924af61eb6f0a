"""Codec of the simulator's batches and events: the one module that knows the names of their fields.

Absent, zero and null fields are the same.
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
    """Events that happened at one time."""

    clock_ns: int
    events: list[Any]


class EventHead(NamedTuple):
    """What every event has."""

    kind: str
    instance: int


class RunOutcome(NamedTuple):
    """How a run or a call ended."""

    outcome: Outcome
    duration_ms: float


class Gauges(NamedTuple):
    """The gauges that a tick brings; None where one is not reported."""

    core_use: float | None
    on_cores: float | None


def decode_batch(line: bytes) -> Batch:
    """Return the events of one line of input, unchecked.

    Raises:
        MalformedInputError: The line is no batch.
    """
    try:
        batch = json.loads(line)
    except ValueError as problem:
        raise MalformedInputError(f"not JSON: {problem}") from None
    if not isinstance(batch, dict):
        raise MalformedInputError("a batch must be an object")
    return Batch(_require(batch, "time", int), _require(batch, "happened", list))


def decode_head(event: Any) -> EventHead:
    """Return the kind of an event, and the number of the instance that it is for.

    Raises:
        MalformedInputError: It has none.
    """
    if not isinstance(event, dict):
        raise MalformedInputError("field 'happened' holds something that is no object")
    return EventHead(_require(event, "t", str), _require(event, "i", int))


def decode_settings(event: Event) -> tuple[int, ServerSettings]:
    """Return the seed and the settings of a server that starts.

    Raises:
        MalformedInputError: A field is missing, or a setting can't be used.
    """
    undecoded = _require(event, "settings", dict)
    seed = _require(event, "prng", int)
    return seed, platform_settings.decode(undecoded)


def decode_request_id(event: Event) -> str:
    """Return the simulator's id of the request that the event is about.

    Raises:
        MalformedInputError: The event names none.
    """
    request_id: str = _require(event, "call", str)
    return request_id


def decode_outcome(event: Event) -> RunOutcome:
    """Return how a run or a call ended.

    Raises:
        MalformedInputError: The outcome or its duration is missing or unknown.
    """
    code = _require(event, "code", str)
    if code not in OUTCOMES:
        raise MalformedInputError(f"{event['t']}: field 'code' is no outcome: {code}")
    return RunOutcome(OUTCOMES[code], _require(event, "timeTaken", int) / NS_PER_MS)


class EventDecoder:
    """Decodes the events of one instance, with the names of its settings and its clock."""

    def __init__(self, settings: ServerSettings, origin_ns: int) -> None:
        """Count the instance's time from `origin_ns`, the simulator's time at which it started."""
        self.origin_ns = origin_ns
        self.class_indices = settings.class_indices()
        self.tenant_indices = settings.tenant_indices()
        gauge_indices = settings.gauge_indices()
        self.core_use_index = gauge_indices.get(platform_settings.CORE_USE_GAUGE)
        self.on_cores_index = gauge_indices.get(platform_settings.ON_CORES_GAUGE)

    def to_ms(self, clock_ns: int) -> float:
        """Return a time of the simulator by the instance's clock."""
        return (clock_ns - self.origin_ns) / NS_PER_MS

    def class_index(self, event: Event) -> int:
        """Return the index of the class of a request that arrived.

        Raises:
            MalformedInputError: The settings have no such class.
        """
        name = _require(event, "type", str)
        index = self.class_indices.get(name)
        if index is None:
            raise MalformedInputError(f"ingress: field 'type' names no stage of the settings: {name}")
        return index

    def arrival(
        self, event: Event, request_index: int, class_index: int, request_indices: Mapping[str, int]
    ) -> RequestArrival:
        """Return a request that arrived; `request_indices` are those of known requests by their ids."""
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
        """Return when a server that was given notice is killed, by its own clock.

        Raises:
            MalformedInputError: The notice names no time.
        """
        return self.to_ms(_require(event, "validUntil", int))

    def gauges(self, event: Event) -> Gauges:
        """Return the gauges that a tick brings."""
        values = event.get("metrics") or ()
        return Gauges(_at(values, self.core_use_index), _at(values, self.on_cores_index))


def _at(values: Sequence[float], index: int | None) -> float | None:
    return None if index is None or index >= len(values) else values[index]


def _require(event: Event, key: str, kinds: type | tuple[type, ...]) -> Any:
    """Return the field's value; a boolean is none of the other kinds.

    Raises:
        MalformedInputError: The field is missing or of another kind.
    """
    value = event.get(key)
    if not isinstance(value, kinds) or (isinstance(value, bool) and kinds is not bool):
        raise MalformedInputError(
            f"{event.get('t', 'message')}: field '{key}' is missing or of the wrong kind"
        )
    return value
