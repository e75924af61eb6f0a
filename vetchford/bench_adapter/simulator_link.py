"""Handles batches of events of the simulator and replies with the resulting actions."""

import traceback
from pathlib import Path
from typing import Any

from vetchford.bench_adapter import simulator_actions, simulator_events
from vetchford.bench_adapter.simulated_server import HANDLERS, SimulatedServer
from vetchford.bench_adapter.simulator_actions import Action
from vetchford.bench_adapter.simulator_events import Event
from vetchford.errors import MalformedInputError


class SimulatorLink:
    """The simulated servers of one process; they share only the reply with their actions."""

    def __init__(self) -> None:
        """Create a link without servers; the simulator attaches them."""
        self.servers: dict[int, SimulatedServer] = {}  # by instance number; removed at `exit` events

    def exchange(self, line: bytes) -> bytes:
        """Return the reply to one batch.

        Raises:
            MalformedInputError: The batch or an event in it does not follow the protocol.
        """
        batch = simulator_events.decode_batch(line)
        batch_actions: list[Action] = []
        for event in batch.events:
            self._handle_event(batch.clock_ns, event, batch_actions)
        return simulator_actions.encode_reply(batch_actions)

    def _handle_event(self, clock_ns: int, event: Any, batch_actions: list[Action]) -> None:
        kind, number = simulator_events.decode_head(event)
        try:
            self._dispatch(clock_ns, kind, number, event, batch_actions)
        except MalformedInputError:
            raise
        except Exception as problem:  # reported to the simulator with its location
            location = traceback.extract_tb(problem.__traceback__)[-1]
            text = f"{type(problem).__name__}: {problem} at {Path(location.filename).name}:{location.lineno}"
            batch_actions.append(simulator_actions.crash(number, text))

    def _dispatch(
        self, clock_ns: int, kind: str, number: int, event: Event, batch_actions: list[Action]
    ) -> None:
        if kind == simulator_events.ATTACH:
            self.servers[number] = SimulatedServer(number, clock_ns, batch_actions)
            self.servers[number].attach(event)
            return
        if kind != simulator_events.EXIT and kind not in HANDLERS:
            raise MalformedInputError(f"field 't' is not a known event: {kind}")
        server = self.servers.get(number)
        if server is None:
            raise MalformedInputError(
                f"{kind}: field 'i' is not the number of an attached instance: {number}"
            )
        if kind == simulator_events.EXIT:
            # Actions of this instance in the current batch are dropped, as it has exited.
            batch_actions[:] = [
                action for action in batch_actions if simulator_actions.instance_number(action) != number
            ]
            del self.servers[number]
            return
        server.actions.batch_actions = batch_actions
        server.handle(clock_ns, kind, event)
