"""Batches of events to method calls, host calls to actions; ids to small indices and ns to ms at the door."""

import json
import math
import traceback
from pathlib import Path
from typing import Any

from vetchford.admission import controller, factory
from vetchford.admission.factory import BYTES_PER_KB, NS_PER_MS
from vetchford.admission.request import RequestArrival
from vetchford.errors import MalformedInputError
from vetchford.server.index_allocator import IndexAllocator

UNKNOWN = -1  # a repeat of something that this life no longer holds
CODES = frozenset(
    ("completed", "errored", "saturated", "overdue", "refused_conn", "severed", "recalled", "superseded")
)


def need(event: dict[str, Any], key: str, kinds: type | tuple[type, ...]) -> Any:
    value = event.get(key)
    if not isinstance(value, kinds) or (isinstance(value, bool) and kinds is not bool):
        raise MalformedInputError(
            f"{event.get('t', 'message')}: field '{key}' is missing or of the wrong kind"
        )
    return value


class Instance:
    """One server's life: the host that its node acts through, and its ids by index."""

    def __init__(self, number: int, origin: int, out: list[dict[str, Any]]) -> None:
        self.number, self.origin, self.out = number, origin, out
        self.indices = IndexAllocator()
        self.ids = self.indices.names
        self.tenants: dict[str, int] = {}
        self.stages: dict[str, int] = {}
        self.gauges: dict[str, int] = {}
        self.controller: controller.AdmissionController | None = None

    def ms(self, clock: int) -> float:
        return (clock - self.origin) / NS_PER_MS

    def act(self, kind: str, **fields: Any) -> None:
        self.out.append({"t": kind, "i": self.number, **fields})

    # -- the host

    def start(self, q: int) -> None:
        self.act("execute", call=self.ids[q])

    def stop(self, q: int) -> None:
        self.act("suspend", call=self.ids[q])

    def reject(self, q: int, terminal: bool, pause: float) -> None:
        self.act("notNow", call=self.ids[q], terminal=terminal, pause=int(pause * NS_PER_MS))

    def fail(self, q: int) -> None:
        self.act("fail", call=self.ids[q])

    def share(self, q: int) -> None:
        self.act("share", call=self.ids[q])

    def call(self, q: int, cut_at: float) -> None:
        # Rounded down, so that no call outlives its cut; 0 would mean the default.
        self.act("goCall", call=self.ids[q], cutAt=max(1, self.origin + math.floor(cut_at * NS_PER_MS)))

    def skip(self, q: int) -> None:
        self.act("skip", call=self.ids[q])

    def remember(self, q: int, keep_for: float) -> None:
        self.act("recordKey", call=self.ids[q], keepFor=math.ceil(keep_for * NS_PER_MS))  # never too short

    def forget(self, q: int) -> None:
        self.act("unpin", call=self.ids[q])

    def release(self, q: int) -> None:
        self.indices.release(q)

    def set_readiness(self, good: bool) -> None:
        self.act("fitness", on=good, cheap=True)

    def publish_load(self, value: float) -> None:
        self.act("stamp", x=value)

    def set_idle_timeout(self, keep_for: float) -> None:
        self.act("reapAfter", keepFor=math.ceil(keep_for * NS_PER_MS))

    def schedule_tick(self, delay: float) -> None:
        self.act("notifyMe", **{"in": math.ceil(delay * NS_PER_MS)}, mark="sweep")

    # -- what can happen

    def attach(self, event: dict[str, Any]) -> None:
        settings = need(event, "settings", dict)
        seed = need(event, "prng", int)
        cold = bool((settings.get("familyInfo") or {}).get("cold"))
        self.stages, self.tenants, self.gauges = factory.indices(settings)
        self.controller = factory.build(self, seed, settings, cold)

    def ingress(self, now: float, event: dict[str, Any]) -> None:
        name = need(event, "call", str)
        kind = need(event, "type", str)
        if kind not in self.stages:
            raise MalformedInputError(f"ingress: field 'type' names no stage of the settings: {kind}")
        until = event.get("validUntil")
        original = event.get("repeats")
        work = event.get("predicted")
        arrival = RequestArrival(
            request_index=self.indices.add(name),
            class_index=self.stages[kind],
            tenant=self.tenants.get(event.get("project") or "", -1),
            client=event.get("who") or 0,
            deadline=self.ms(until) if until else None,
            work=work / NS_PER_MS if work else None,
            size=max(1, round((event.get("memKb") or 0.0) * BYTES_PER_KB)),
            is_retry=bool(event.get("resent")),
            queued_for=(event.get("queuedFor") or 0) / NS_PER_MS,
            original=self.indices.by_name.get(original, UNKNOWN) if original else None,
        )
        self.controller.request_arrived(now, arrival)

    def notice(self, now: float, event: dict[str, Any]) -> None:
        self.controller.start_draining(now, self.ms(need(event, "validUntil", int)))

    def bell(self, now: float, event: dict[str, Any]) -> None:
        metrics = event.get("metrics") or []

        def gauge(name: str) -> float | None:
            at = self.gauges.get(name, len(metrics))
            return metrics[at] if at < len(metrics) else None

        self.controller.on_tick(now, gauge("core_use"), gauge("on_cores"))

    def known(self, event: dict[str, Any]) -> int | None:
        """The index of a task; none where it was released: word of it may come late, and changes nothing."""
        return self.indices.by_name.get(need(event, "call", str))

    def lapsed(self, now: float, event: dict[str, Any]) -> None:
        q = self.known(event)
        if q is not None:
            self.controller.client_gone(now, q)

    def stalled_on_call(self, now: float, event: dict[str, Any]) -> None:
        q = self.known(event)
        if q is not None:
            self.controller.run_blocked(now, q)

    def outcome(self, event: dict[str, Any]) -> tuple[str, float]:
        code = need(event, "code", str)
        if code not in CODES:
            raise MalformedInputError(f"{event['t']}: field 'code' is no outcome: {code}")
        return code, need(event, "timeTaken", int) / NS_PER_MS

    def call_result(self, now: float, event: dict[str, Any]) -> None:
        q = self.known(event)
        code, took = self.outcome(event)
        if q is not None:
            self.controller.call_ended(now, q, code, took)

    def ended(self, now: float, event: dict[str, Any]) -> None:
        q = self.known(event)
        code, took = self.outcome(event)
        if q is not None:
            self.controller.run_ended(now, q, code, took)

    HANDLERS = {
        "ingress": ingress,
        "notice": notice,
        "bell": bell,
        "lapsed": lapsed,
        "stalledOnCall": stalled_on_call,
        "callResult": call_result,
        "ended": ended,
    }


class Link:
    """All instances that one process hosts; they share nothing but the reply that carries their actions."""

    def __init__(self) -> None:
        self.instances: dict[int, Instance] = {}  # emptied by `exit`

    def exchange(self, line: bytes) -> bytes:
        try:
            batch = json.loads(line)
        except ValueError as problem:
            raise MalformedInputError(f"not JSON: {problem}") from None
        if not isinstance(batch, dict):
            raise MalformedInputError("a batch must be an object")
        clock = need(batch, "time", int)
        out: list[dict[str, Any]] = []
        for event in need(batch, "happened", list):
            if not isinstance(event, dict):
                raise MalformedInputError("field 'happened' holds something that is no object")
            self.take(clock, event, out)
        return json.dumps({"decisions": out}, separators=(",", ":")).encode() + b"\n"

    def take(self, clock: int, event: dict[str, Any], out: list[dict[str, Any]]) -> None:
        kind = need(event, "t", str)
        number = need(event, "i", int)
        try:
            if kind == "attach":
                instance = self.instances[number] = Instance(number, clock, out)
                instance.attach(event)
                return
            if kind != "exit" and kind not in Instance.HANDLERS:
                raise MalformedInputError(f"field 't' names no event: {kind}")
            instance = self.instances.get(number)
            if instance is None:
                raise MalformedInputError(f"{kind}: field 'i' names no instance that is attached: {number}")
            if kind == "exit":
                # What it asked for in this batch dies with it.
                out[:] = [action for action in out if action["i"] != number]
                del self.instances[number]
                return
            instance.out = out
            Instance.HANDLERS[kind](instance, instance.ms(clock), event)
        except MalformedInputError:
            raise
        except Exception as problem:  # the bench is told where the module broke
            place = traceback.extract_tb(problem.__traceback__)[-1]
            text = f"{type(problem).__name__}: {problem} at {Path(place.filename).name}:{place.lineno}"
            out.append({"t": "crash", "i": number, "text": text})
