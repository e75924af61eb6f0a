"""Asks a fleet of agents over the sockets of some of them."""

from collections.abc import Mapping
from typing import Any

from vetchford.fleet.agent_client import Answer, UnreachableError, ask
from vetchford.fleet.agent_messages import FLEET_REQUEST


def fleet_request(request: Mapping[str, Any]) -> dict[str, Any]:
    """Return the request to one agent that carries a request to its fleet."""
    return {"ask": FLEET_REQUEST, "request": request}


class FleetClient:
    """Any agent takes a request; the next one is asked where one does not reply."""

    def __init__(self, paths: list[str]) -> None:
        """`paths`: the sockets, in the order they are tried."""
        self.paths = paths

    def ask(self, request: Mapping[str, Any]) -> Answer:
        """Return the first reply. Raises UnreachableError if no agent gives one."""
        problems = []
        for path in list(self.paths):
            try:
                return ask(path, fleet_request(request))
            except UnreachableError as problem:
                problems.append(str(problem))
                self.paths = [other for other in self.paths if other != path] + [path]  # tried last from now
        raise UnreachableError("; ".join(problems))
