"""Answers the requests of tools, on the agent's thread."""

import uuid
from collections.abc import Callable
from typing import Any, Protocol

from vetchford.fleet.agent_messages import (
    FLEET_REQUEST,
    ExplainReply,
    HistoryReply,
    InstanceStatus,
    PlanReply,
    Reply,
    RequestKind,
    RolloutStatus,
    StatusReply,
)
from vetchford.fleet.agent_settings import AgentSettings
from vetchford.fleet.history_store import Store
from vetchford.fleet.instance import Instance
from vetchford.fleet.process_table import read_memory_kb
from vetchford.fleet.rollout import RefusedError, Rollout, RolloutKind
from vetchford.fleet.rollout_controller import RolloutController
from vetchford.fleet.supervisor import Process

MAX_HISTORY_REPLY = 1000  # entries: about a MB of JSON
DEFAULT_HISTORY_REPLY = 50  # entries
EXPLAIN_HISTORY = 20  # entries
MALFORMED = (TypeError, KeyError, ValueError, AttributeError)  # what a request of another form raises

Request = dict[str, Any]


class FleetCoordination(Protocol):
    """The agent's part in a fleet of agents, as far as tools reach it."""

    def request(self, request: Request, reply: Callable[[dict[str, Any]], None]) -> None:
        """Answer by calling `reply` once, now or later. Raises RefusedError."""


class RequestHandler:
    """Carries requests out and makes the replies. Used by the agent's thread alone."""

    def __init__(
        self,
        settings: AgentSettings,
        controller: RolloutController,
        store: Store,
        processes: dict[str, Process],
        now: Callable[[], float],
    ) -> None:
        """`now`: ms, on the clock of the controller. `coordination` is set for an agent of a fleet."""
        self.settings = settings
        self.controller = controller
        self.store = store
        self.processes = processes
        self.now = now
        self.coordination: FleetCoordination | None = None
        self.handlers: dict[RequestKind, Callable[[Request], Reply]] = {
            RequestKind.STATUS: self._status,
            RequestKind.ROLLOUT: self._submit,
            RequestKind.PAUSE: self._pause,
            RequestKind.RESUME: self._resume,
            RequestKind.ABORT: self._abort,
            RequestKind.HISTORY: self._history,
            RequestKind.EXPLAIN: self._explain,
            RequestKind.FIND: self._find,
        }

    def handle(self, request: Any, reply: Callable[[Reply], None]) -> None:
        """Answer one decoded request, whatever it holds, by calling `reply` once."""
        try:
            self._dispatch(request, reply)
        except (RefusedError, OSError) as problem:
            reply({"refused": str(problem)})
        except MALFORMED as problem:
            reply({"refused": f"a malformed command: {type(problem).__name__}: {problem}"})

    def _dispatch(self, request: Any, reply: Callable[[Reply], None]) -> None:
        kind = request.get("ask") if isinstance(request, dict) else None
        if kind == FLEET_REQUEST:
            if self.coordination is None:
                raise RefusedError("this agent is of no fleet: its settings have no 'peers'")
            self.coordination.request(request["request"], reply)
        elif kind in tuple(RequestKind):  # a tuple: `kind` may be a value that has no hash
            reply(self.handlers[RequestKind(kind)](request))
        else:
            raise RefusedError(f"'ask' must be one of {', '.join(RequestKind)}")

    # -- status

    def _status(self, request: Request) -> StatusReply:
        now = self.now()
        return {
            "instances": [self._instance_status(now, one) for one in self.controller.instances.values()],
            "changes": [rollout_status(rollout) for rollout in self.controller.rollouts.values()],
        }

    def _instance_status(self, now: float, instance: Instance) -> InstanceStatus:
        process = self.processes.get(instance.name)
        rollout = self.controller.rollout_of(instance.name)
        return {
            "name": instance.name,
            "state": instance.state,
            "version": instance.running_version or instance.version,
            "why": instance.reason,
            "group": instance.settings.group,
            "labels": self.settings.instances[instance.name].labels,
            "wanted": instance.wanted,
            "for_ms": round(now - instance.state_since),
            "restarts": instance.restarts,
            "killed": instance.kill_count,
            "pid": process.pid if process else 0,
            "memory_kb": read_memory_kb(process.pid) if process else 0,
            "change": rollout.id if rollout else "",
        }

    # -- rollouts

    def _submit(self, request: Request) -> RolloutStatus | PlanReply:
        fields = {key: value for key, value in request.items() if key not in ("ask", "dry_run")}
        rollout = Rollout.from_request({"id": uuid.uuid4().hex[:12], **fields})
        self._check_version(rollout)
        if request.get("dry_run"):
            plan = self.controller.plan(rollout)
            return {"plan": plan.targets, "batch": plan.batch, "floor": plan.minimum_available}
        return rollout_status(self.controller.submit(self.now(), rollout))

    def _check_version(self, rollout: Rollout) -> None:
        """Refuse a roll to a version that some target has no command for."""
        if rollout.kind != RolloutKind.ROLL:
            return
        definitions = self.settings.instances
        needs_command = any(
            name in definitions and definitions[name].version != rollout.version for name in rollout.targets
        )
        if needs_command and rollout.version not in self.settings.versions:
            raise RefusedError(f"no command for version '{rollout.version}' in the settings")

    def _pause(self, request: Request) -> RolloutStatus:
        return rollout_status(self.controller.pause(request["id"]))

    def _resume(self, request: Request) -> RolloutStatus:
        return rollout_status(self.controller.resume(self.now(), request["id"]))

    def _abort(self, request: Request) -> RolloutStatus:
        return rollout_status(self.controller.abort(self.now(), request["id"]))

    def _find(self, request: Request) -> RolloutStatus:
        return rollout_status(self.controller.get(request["id"]))

    # -- history

    def _history(self, request: Request) -> HistoryReply:
        count = min(MAX_HISTORY_REPLY, int(request.get("most", DEFAULT_HISTORY_REPLY)))
        return {"history": self.store.history(count)}

    def _explain(self, request: Request) -> ExplainReply:
        name = request["name"]
        if name not in self.settings.instances:
            raise RefusedError(f"no such instance: {name}")
        history = [
            entry
            for entry in self.store.history(MAX_HISTORY_REPLY)
            if entry["name"] == name or name in (entry["body"] or {}).get("steps", {})
        ]
        return {
            "said": explanation(self.controller.instances[name], self.now()),
            "history": history[:EXPLAIN_HISTORY],
        }


def rollout_status(rollout: Rollout) -> RolloutStatus:
    """Return what tools see of a rollout."""
    return {
        "id": rollout.id,
        "kind": rollout.kind,
        "state": rollout.state,
        "why": rollout.reason,
        "steps": dict[str, str](rollout.steps),
        "killed": rollout.killed,
    }


def explanation(instance: Instance, now: float) -> str:
    """Return one sentence on the state of an instance and what follows; `now` in ms."""
    text = f"{instance.name} is {instance.state} ({instance.reason}); "
    text += f"it is{'' if instance.wanted else ' not'} wanted"
    if instance.restart_at:
        text += f"; started again in {max(0, round(instance.restart_at - now))} ms"
    if instance.wanted and not instance.has_process and not instance.restart_at:
        text += "; nothing will start it until somebody does"
    return text
