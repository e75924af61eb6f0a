"""One simulated server: passes events of the simulator to the admission controller."""

from collections.abc import Callable

from vetchford.admission import factory
from vetchford.admission.controller import AdmissionController
from vetchford.bench_adapter import simulator_events
from vetchford.bench_adapter.simulator_actions import Action, SimulatorActions
from vetchford.bench_adapter.simulator_events import Event, EventDecoder
from vetchford.errors import VetchfordError


class NotAttachedError(VetchfordError):
    """An event is for an instance whose attach event failed."""

    def __init__(self, number: int) -> None:
        """Create the error for the instance with this number."""
        super().__init__(f"instance {number} is not attached")
        self.number = number


class SimulatedServer:
    """An admission controller that uses the request ids and the clock of the simulator."""

    def __init__(self, number: int, origin_ns: int, batch_actions: list[Action]) -> None:
        """Create instance `number`, whose clock starts at the simulator's time `origin_ns`.

        Actions are appended to `batch_actions`, those of the current batch.
        """
        self.origin_ns = origin_ns
        self.actions = SimulatorActions(number, origin_ns, batch_actions)
        self._decoder: EventDecoder | None = None
        self._controller: AdmissionController | None = None

    @property
    def controller(self) -> AdmissionController:
        """The controller; raises NotAttachedError if there is none."""
        if self._controller is None:
            raise NotAttachedError(self.actions.number)
        return self._controller

    @property
    def decoder(self) -> EventDecoder:
        """The decoder of events; raises NotAttachedError if there is none."""
        if self._decoder is None:
            raise NotAttachedError(self.actions.number)
        return self._decoder

    def attach(self, event: Event) -> None:
        """Create the controller from the settings in the event.

        Raises:
            MalformedInputError: The settings in the event are missing or invalid.
        """
        seed, settings = simulator_events.decode_settings(event)
        self._decoder = EventDecoder(settings, self.origin_ns)
        self._controller = factory.build(self.actions, seed, settings, settings.starts_cold)

    def handle(self, clock_ns: int, kind: str, event: Event) -> None:
        """Handle an event that happened at `clock_ns`; `kind` is a key of `HANDLERS`.

        Raises:
            MalformedInputError: A field of the event is missing or invalid.
        """
        HANDLERS[kind](self, self.decoder.to_ms(clock_ns), event)

    def _index_if_known(self, event: Event) -> int | None:
        """Return the index of the request, None if it was released; late events are ignored."""
        return self.actions.indices.by_name.get(simulator_events.decode_request_id(event))

    def _request_arrived(self, now_ms: float, event: Event) -> None:
        request_id = simulator_events.decode_request_id(event)
        class_index = self.decoder.class_index(event)
        indices = self.actions.indices
        request_index = indices.add(request_id)
        arrival = self.decoder.arrival(event, request_index, class_index, indices.by_name)
        self.controller.request_arrived(now_ms, arrival)

    def _termination_notice(self, now_ms: float, event: Event) -> None:
        answers_due_at_ms = self.decoder.kill_at_ms(event)  # a simulated server exits at once
        self.controller.start_draining(now_ms, answers_due_at_ms)

    def _tick(self, now_ms: float, event: Event) -> None:
        gauges = self.decoder.gauges(event)
        self.controller.on_tick(now_ms, gauges.core_use, gauges.on_cores)

    def _client_gone(self, now_ms: float, event: Event) -> None:
        index = self._index_if_known(event)
        if index is not None:
            self.controller.client_gave_up(now_ms, index)

    def _run_blocked(self, now_ms: float, event: Event) -> None:
        index = self._index_if_known(event)
        if index is not None:
            self.controller.run_blocked(now_ms, index)

    def _call_ended(self, now_ms: float, event: Event) -> None:
        index = self._index_if_known(event)
        outcome, duration_ms = simulator_events.decode_outcome(event)
        if index is not None:
            self.controller.call_ended(now_ms, index, outcome, duration_ms)

    def _run_ended(self, now_ms: float, event: Event) -> None:
        index = self._index_if_known(event)
        outcome, duration_ms = simulator_events.decode_outcome(event)
        if index is not None:
            self.controller.run_ended(now_ms, index, outcome, duration_ms)


HANDLERS: dict[str, Callable[[SimulatedServer, float, Event], None]] = {
    simulator_events.REQUEST_ARRIVED: SimulatedServer._request_arrived,
    simulator_events.TERMINATION_NOTICE: SimulatedServer._termination_notice,
    simulator_events.TICK: SimulatedServer._tick,
    simulator_events.CLIENT_GONE: SimulatedServer._client_gone,
    simulator_events.RUN_BLOCKED: SimulatedServer._run_blocked,
    simulator_events.CALL_ENDED: SimulatedServer._call_ended,
    simulator_events.RUN_ENDED: SimulatedServer._run_ended,
}
