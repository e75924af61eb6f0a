"""The agent's replies to requests of tools, on the agent's thread."""

import uuid
from collections.abc import Callable
from typing import Any, Protocol

from vetchford.fleet.agent_messages import (
    ENCODED_KIND,
    FLEET_KIND,
    MALFORMED,
    REQUEST_KINDS,
    SUBMIT_KIND,
    AbortRequest,
    AgentReply,
    EncodedReply,
    EncodedRequest,
    ExplainReply,
    ExplainRequest,
    FieldDecodedRequest,
    FindRequest,
    HistoryReply,
    HistoryRequest,
    InstanceStatus,
    MalformedRequestError,
    PauseRequest,
    PlanReply,
    RefusedReply,
    ResumeRequest,
    RolloutStatus,
    StatusReply,
    StatusRequest,
    decode_request,
    encode,
)
from vetchford.fleet.agent_settings import AgentSettings
from vetchford.fleet.history_store import Store
from vetchford.fleet.instance import Instance
from vetchford.fleet.process_table import read_memory_kb
from vetchford.fleet.rollout import RefusedError, Rollout, RolloutKind
from vetchford.fleet.rollout_controller import RolloutController
from vetchford.fleet.supervisor import Process

MAX_HISTORY_REPLY_ENTRIES = 1000  # per reply: about 1 MB of JSON
EXPLAIN_HISTORY_ENTRIES = 20


class FleetCoordination(Protocol):
    """The agent's coordinator, as far as requests of tools need it."""

    def request(self, request: EncodedRequest, reply: Callable[[EncodedReply], None]) -> None:
        """Answer a request by calling `reply` once, now or later. Raises RefusedError."""


class RequestHandler:
    """Carries out requests and creates their replies. Used by the agent's thread only."""

    def __init__(
        self,
        settings: AgentSettings,
        controller: RolloutController,
        store: Store,
        processes: dict[str, Process],
        now: Callable[[], float],
    ) -> None:
        """Initialize the handler; `now`: in ms, the controller's clock. `coordination` is set in a fleet."""
        self.settings = settings
        self.controller = controller
        self.store = store
        self.processes = processes
        self.now = now
        self.coordination: FleetCoordination | None = None

    def handle(self, request: Any, reply: Callable[[EncodedReply], None]) -> None:
        """Answer one decoded line, which may be malformed, by calling `reply` once."""
        try:
            self._dispatch(request, reply)
        except (RefusedError, OSError) as problem:
            reply(encode(RefusedReply(str(problem))))
        except MALFORMED as problem:
            reply(encode(RefusedReply(str(MalformedRequestError(problem)))))

    def _dispatch(self, request: Any, reply: Callable[[EncodedReply], None]) -> None:
        kind = request.get(ENCODED_KIND) if isinstance(request, dict) else None
        if kind == FLEET_KIND:
            self._forward_to_fleet(request, reply)
        elif kind == SUBMIT_KIND:
            reply(encode(self._submit(request)))
        elif kind in REQUEST_KINDS:
            reply(encode(self._answer(decode_request(kind, request))))
        else:
            raise RefusedError(f"'{ENCODED_KIND}' must be one of {', '.join(REQUEST_KINDS)}")

    def _forward_to_fleet(self, request: EncodedRequest, reply: Callable[[EncodedReply], None]) -> None:
        if self.coordination is None:
            raise RefusedError("this agent is in no fleet: its settings have no 'peers'")
        self.coordination.request(request["request"], reply)

    def _answer(self, request: FieldDecodedRequest) -> AgentReply:
        controller = self.controller
        match request:
            case StatusRequest():
                return self._status()
            case FindRequest():
                return rollout_status(controller.get(request.id))
            case PauseRequest():
                return rollout_status(controller.pause(request.id))
            case ResumeRequest():
                return rollout_status(controller.resume(self.now(), request.id))
            case AbortRequest():
                return rollout_status(controller.abort(self.now(), request.id))
            case HistoryRequest():
                return self._history(request)
            case ExplainRequest():
                return self._explain(request)

    # -- status

    def _status(self) -> StatusReply:
        now_ms = self.now()
        return StatusReply(
            instances=[
                self._instance_status(now_ms, instance) for instance in self.controller.instances.values()
            ],
            rollouts=[rollout_status(rollout) for rollout in self.controller.rollouts.values()],
        )

    def _instance_status(self, now_ms: float, instance: Instance) -> InstanceStatus:
        process = self.processes.get(instance.name)
        rollout = self.controller.rollout_of(instance.name)
        return InstanceStatus(
            name=instance.name,
            state=instance.state,
            version=instance.running_version or instance.version,
            reason=instance.reason,
            group=instance.settings.group,
            labels=self.settings.instances[instance.name].labels,
            wanted=instance.wanted,
            state_age_ms=round(now_ms - instance.state_since_ms),
            restarts=instance.restarts,
            kill_count=instance.kill_count,
            pid=process.pid if process else 0,
            memory_kb=read_memory_kb(process.pid) if process else 0,
            rollout_id=rollout.id if rollout else "",
        )

    # -- rollouts

    def _submit(self, request: EncodedRequest) -> RolloutStatus | PlanReply:
        fields = {key: value for key, value in request.items() if key not in (ENCODED_KIND, "dry_run")}
        rollout = Rollout.from_request({"id": uuid.uuid4().hex[:12], **fields})
        self._check_version(rollout)
        if request.get("dry_run"):
            plan = self.controller.plan(rollout)
            return PlanReply(plan.targets, plan.batch, plan.minimum_available)
        return rollout_status(self.controller.submit(self.now(), rollout))

    def _check_version(self, rollout: Rollout) -> None:
        """Refuse a roll to a version for which a target has no command."""
        if rollout.kind != RolloutKind.ROLL:
            return
        definitions = self.settings.instances
        needs_command = any(
            name in definitions and definitions[name].version != rollout.version for name in rollout.targets
        )
        if needs_command and rollout.version not in self.settings.versions:
            raise RefusedError(
                f"no command for version '{rollout.version}': add it to 'versions' in the settings"
            )

    # -- history

    def _history(self, request: HistoryRequest) -> HistoryReply:
        count = min(MAX_HISTORY_REPLY_ENTRIES, int(request.max_entries))
        return HistoryReply(self.store.history(count))

    def _explain(self, request: ExplainRequest) -> ExplainReply:
        name = request.instance
        if name not in self.settings.instances:
            raise RefusedError(f"no such instance: {name}")
        entries = [
            entry
            for entry in self.store.history(MAX_HISTORY_REPLY_ENTRIES)
            if entry.name == name or name in (entry.body or {}).get("steps", {})
        ]
        instance = self.controller.instances[name]
        owner = self.controller.owner_of_start(name)
        return ExplainReply(explanation(instance, owner, self.now()), entries[:EXPLAIN_HISTORY_ENTRIES])


def rollout_status(rollout: Rollout) -> RolloutStatus:
    """Return the status of a rollout as tools receive it."""
    return RolloutStatus(
        id=rollout.id,
        kind=rollout.kind,
        state=rollout.state,
        reason=rollout.reason,
        steps=dict[str, str](rollout.steps),
        killed=rollout.killed,
    )


def explanation(instance: Instance, owner: Rollout | None, now_ms: float) -> str:
    """Describe the state of an instance and who starts it next in one sentence.

    `owner`: the rollout whose step still has to start it; None: the agent. `now_ms`: monotonic.
    """
    text = f"{instance.name} is {instance.state} ({instance.reason}); "
    text += f"it is{'' if instance.wanted else ' not'} wanted"
    if instance.restart_at_ms:
        text += f"; started again in {max(0, round(instance.restart_at_ms - now_ms))} ms"
    elif instance.wanted and not instance.has_process:
        text += f"; {_next_starter(owner)}"
    return text


def _next_starter(owner: Rollout | None) -> str:
    if owner is None:
        return "nothing will start it until somebody does"
    waits = "" if owner.active else f" once it is resumed, it is {owner.state}"
    return f"change {owner.id} starts it{waits}"
