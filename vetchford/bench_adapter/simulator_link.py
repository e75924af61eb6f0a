"""Batches of the simulator's events, and the replies with the actions that follow from them."""

import json
import traceback
from pathlib import Path

from vetchford.bench_adapter.event_fields import Event, require
from vetchford.bench_adapter.simulated_server import EVENT_KINDS, SimulatedServer
from vetchford.bench_adapter.simulator_actions import Action
from vetchford.errors import MalformedInputError


class SimulatorLink:
    """All servers that one process simulates; they share nothing but the reply that carries their actions."""

    def __init__(self) -> None:
        """Create a link to no servers; the simulator attaches them."""
        self.servers: dict[int, SimulatedServer] = {}  # emptied by `exit`

    def exchange(self, line: bytes) -> bytes:
        """The reply to one batch.

        Raises:
            MalformedInputError: The batch, or an event in it, does not have the form of the wire.
        """
        try:
            batch = json.loads(line)
        except ValueError as problem:
            raise MalformedInputError(f"not JSON: {problem}") from None
        if not isinstance(batch, dict):
            raise MalformedInputError("a batch must be an object")
        clock = require(batch, "time", int)
        out: list[Action] = []
        for event in require(batch, "happened", list):
            if not isinstance(event, dict):
                raise MalformedInputError("field 'happened' holds something that is no object")
            self._take(clock, event, out)
        return json.dumps({"decisions": out}, separators=(",", ":")).encode() + b"\n"

    def _take(self, clock: int, event: Event, out: list[Action]) -> None:
        kind = require(event, "t", str)
        number = require(event, "i", int)
        try:
            self._deliver(clock, kind, number, event, out)
        except MalformedInputError:
            raise
        except Exception as problem:  # the simulator is told where the controller broke
            place = traceback.extract_tb(problem.__traceback__)[-1]
            text = f"{type(problem).__name__}: {problem} at {Path(place.filename).name}:{place.lineno}"
            out.append({"t": "crash", "i": number, "text": text})

    def _deliver(self, clock: int, kind: str, number: int, event: Event, out: list[Action]) -> None:
        if kind == "attach":
            self.servers[number] = SimulatedServer(number, clock, out)
            self.servers[number].attach(event)
            return
        if kind != "exit" and kind not in EVENT_KINDS:
            raise MalformedInputError(f"field 't' names no event: {kind}")
        server = self.servers.get(number)
        if server is None:
            raise MalformedInputError(f"{kind}: field 'i' names no instance that is attached: {number}")
        if kind == "exit":
            # What it asked for in this batch dies with it.
            out[:] = [action for action in out if action["i"] != number]
            del self.servers[number]
            return
        server.actions.out = out
        server.handle(clock, kind, event)
