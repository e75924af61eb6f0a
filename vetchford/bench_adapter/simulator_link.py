"""Batches of the simulator's events, and the replies with the actions that follow from them."""

import traceback
from pathlib import Path
from typing import Any

from vetchford.bench_adapter import simulator_actions, simulator_events
from vetchford.bench_adapter.simulated_server import HANDLERS, SimulatedServer
from vetchford.bench_adapter.simulator_actions import Action
from vetchford.bench_adapter.simulator_events import Event
from vetchford.errors import MalformedInputError


class SimulatorLink:
    """All servers that one process simulates; they share nothing but the reply that carries their actions."""

    def __init__(self) -> None:
        """Create a link to no servers; the simulator attaches them."""
        self.servers: dict[int, SimulatedServer] = {}  # emptied by `exit`

    def exchange(self, line: bytes) -> bytes:
        """Return the reply to one batch.

        Raises:
            MalformedInputError: The batch, or an event in it, does not have the form of the wire.
        """
        batch = simulator_events.decode_batch(line)
        out: list[Action] = []
        for event in batch.events:
            self._take(batch.clock_ns, event, out)
        return simulator_actions.encode_reply(out)

    def _take(self, clock_ns: int, event: Any, out: list[Action]) -> None:
        kind, number = simulator_events.decode_head(event)
        try:
            self._deliver(clock_ns, kind, number, event, out)
        except MalformedInputError:
            raise
        except Exception as problem:  # the simulator is told where the controller broke
            place = traceback.extract_tb(problem.__traceback__)[-1]
            text = f"{type(problem).__name__}: {problem} at {Path(place.filename).name}:{place.lineno}"
            out.append(simulator_actions.crash(number, text))

    def _deliver(self, clock_ns: int, kind: str, number: int, event: Event, out: list[Action]) -> None:
        if kind == simulator_events.ATTACH:
            self.servers[number] = SimulatedServer(number, clock_ns, out)
            self.servers[number].attach(event)
            return
        if kind != simulator_events.EXIT and kind not in HANDLERS:
            raise MalformedInputError(f"field 't' names no event: {kind}")
        server = self.servers.get(number)
        if server is None:
            raise MalformedInputError(f"{kind}: field 'i' names no instance that is attached: {number}")
        if kind == simulator_events.EXIT:
            # What it asked for in this batch ends with it.
            out[:] = [action for action in out if simulator_actions.instance(action) != number]
            del self.servers[number]
            return
        server.actions.out = out
        server.handle(clock_ns, kind, event)
