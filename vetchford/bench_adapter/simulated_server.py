"""One simulated server: events of the wire to calls of its controller."""

from vetchford.admission import factory
from vetchford.admission.controller import AdmissionController
from vetchford.admission.request import Outcome, RequestArrival
from vetchford.bench_adapter.event_fields import Event, require
from vetchford.bench_adapter.simulator_actions import Action, SimulatorActions
from vetchford.errors import MalformedInputError, VetchfordError
from vetchford.protocol import platform_settings
from vetchford.protocol.platform_settings import BYTES_PER_KB, NS_PER_MS

UNKNOWN_ORIGINAL = -1  # a repeat of something that this server does not hold any more
NO_TENANT = -1
OUTCOMES = {outcome.value: outcome for outcome in Outcome}


class NotAttachedError(VetchfordError):
    """An event for a server whose `attach` failed."""


class SimulatedServer:
    """A controller with the simulator's ids and clock. Absent, zero and null fields are the same."""

    def __init__(self, number: int, origin: int, out: list[Action]) -> None:
        """`origin`: the simulator's time (ns) at which the server starts; `out`: see `SimulatorActions`."""
        self.actions = SimulatorActions(number, origin, out)
        self.classes: dict[str, int] = {}
        self.tenants: dict[str, int] = {}
        self.gauges: dict[str, int] = {}
        self._controller: AdmissionController | None = None

    @property
    def controller(self) -> AdmissionController:
        """The controller, once attached."""
        if self._controller is None:
            raise NotAttachedError(f"instance {self.actions.number} is not attached")
        return self._controller

    def attach(self, event: Event) -> None:
        """Build the controller from the event's settings."""
        undecoded = require(event, "settings", dict)
        seed = require(event, "prng", int)
        settings = platform_settings.decode(undecoded)
        self.classes = settings.class_indices()
        self.tenants = settings.tenant_indices()
        self.gauges = settings.gauge_indices()
        self._controller = factory.build(self.actions, seed, settings, settings.starts_cold)

    def handle(self, clock: int, kind: str, event: Event) -> None:
        """Deliver an event of a kind in `EVENT_KINDS` that happened at `clock` (ns)."""
        EVENT_KINDS[kind](self, self._ms(clock), event)

    def _ms(self, clock: int) -> float:
        return (clock - self.actions.origin) / NS_PER_MS

    def _known(self, event: Event) -> int | None:
        """The index of a request; None where it was released: an event that comes late changes nothing."""
        return self.actions.indices.by_name.get(require(event, "call", str))

    def _ingress(self, now: float, event: Event) -> None:
        name = require(event, "call", str)
        kind = require(event, "type", str)
        if kind not in self.classes:
            raise MalformedInputError(f"ingress: field 'type' names no stage of the settings: {kind}")
        until, original, work = event.get("validUntil"), event.get("repeats"), event.get("predicted")
        by_name = self.actions.indices.by_name
        arrival = RequestArrival(
            request_index=self.actions.indices.add(name),
            class_index=self.classes[kind],
            tenant=self.tenants.get(event.get("project") or "", NO_TENANT),
            client=event.get("who") or 0,
            deadline_ms=self._ms(until) if until else None,
            work_ms=work / NS_PER_MS if work else None,
            size_bytes=max(1, round((event.get("memKb") or 0.0) * BYTES_PER_KB)),
            is_retry=bool(event.get("resent")),
            queued_for_ms=(event.get("queuedFor") or 0) / NS_PER_MS,
            original=by_name.get(original, UNKNOWN_ORIGINAL) if original else None,
        )
        self.controller.request_arrived(now, arrival)

    def _notice(self, now: float, event: Event) -> None:
        self.controller.start_draining(now, self._ms(require(event, "validUntil", int)))

    def _bell(self, now: float, event: Event) -> None:
        gauges = event.get("metrics") or []

        def gauge(name: str) -> float | None:
            at = self.gauges.get(name, len(gauges))
            return gauges[at] if at < len(gauges) else None

        self.controller.on_tick(now, gauge("core_use"), gauge("on_cores"))

    def _lapsed(self, now: float, event: Event) -> None:
        index = self._known(event)
        if index is not None:
            self.controller.client_gone(now, index)

    def _stalled_on_call(self, now: float, event: Event) -> None:
        index = self._known(event)
        if index is not None:
            self.controller.run_blocked(now, index)

    def _call_result(self, now: float, event: Event) -> None:
        index, (outcome, took) = self._known(event), _outcome(event)
        if index is not None:
            self.controller.call_ended(now, index, outcome, took)

    def _ended(self, now: float, event: Event) -> None:
        index, (outcome, took) = self._known(event), _outcome(event)
        if index is not None:
            self.controller.run_ended(now, index, outcome, took)


def _outcome(event: Event) -> tuple[Outcome, float]:
    """How a run or a call ended, and after how many ms."""
    code = require(event, "code", str)
    if code not in OUTCOMES:
        raise MalformedInputError(f"{event['t']}: field 'code' is no outcome: {code}")
    return OUTCOMES[code], require(event, "timeTaken", int) / NS_PER_MS


EVENT_KINDS = {
    "ingress": SimulatedServer._ingress,
    "notice": SimulatedServer._notice,
    "bell": SimulatedServer._bell,
    "lapsed": SimulatedServer._lapsed,
    "stalledOnCall": SimulatedServer._stalled_on_call,
    "callResult": SimulatedServer._call_result,
    "ended": SimulatedServer._ended,
}
