"""What tools ask of a fleet, answered by the agent that they reached or by the leader. No I/O; times in ms.

Requests and answers are the tools' maps, `{"ask": ...}`, in the words of their protocol. A request that only
the leader can answer waits here; it is forwarded to the leader again and again until it is answered or its
time is over, so it may reach several leaders: each kind of request may be carried out twice without harm.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, TypeAlias

from vetchford.fleet.consensus import Role
from vetchford.fleet.coordinator_messages import ForwardedAnswer, ForwardedRequest
from vetchford.fleet.fleet_record import RolloutState, agent_of
from vetchford.fleet.rollout import RefusedError
from vetchford.fleet.rollout_controls import ABORT, PAUSE
from vetchford.fleet.rollout_request import RolloutRequest

if TYPE_CHECKING:
    from vetchford.fleet.coordinator import FleetCoordinator
    from vetchford.fleet.fleet_rollout import FleetRolloutController

REQUEST_TIMEOUT = 6000.0  # ms: a new leader is elected in less
FIRST_REPORTS_TIMEOUT = 3000.0  # ms that a new leader waits for agents that have not reported to it
TARGETS_TIMEOUT = 3000.0  # ms of a request's time for agents that it names to be seen: three idle polls
FORWARD_INTERVAL = 1000.0  # ms until a request is forwarded once more
MAX_PENDING_REQUESTS = 256  # more are refused
NEVER = -1e12  # ms: before any time of the clock

Request: TypeAlias = dict[str, Any]
Answer: TypeAlias = dict[str, Any]

STATE_BY_CONTROL = {"": "running", PAUSE: "paused", ABORT: "aborted"}


@dataclass(slots=True)
class PendingRequest:
    """A tool's request that only the leader can answer."""

    request: Request
    reply: Callable[[Answer], None]
    received_at: float
    forwarded_at: float = NEVER

    def waited(self, now: float) -> float:
        """Ms since the tool asked."""
        return now - self.received_at

    def is_overdue(self, now: float) -> bool:
        """Whether its time is over."""
        return now >= self.received_at + REQUEST_TIMEOUT


class ToolRequests:
    """The requests of tools at one agent, and the leader's answers to those of other agents."""

    def __init__(self, coordinator: FleetCoordinator) -> None:
        """`coordinator`: has the record, the controls and, on the leader, the controller."""
        self.coordinator = coordinator
        self.pending: dict[int, PendingRequest] = {}  # by reference; removed as they are answered
        self.last_number = 0  # of references and controls

    def tick(self, now: float) -> None:
        """Tries the pending requests; called about ten times a second."""
        for reference in list(self.pending):
            self.try_pending(now, reference)

    def request(self, now: float, request: Request, reply: Callable[[Answer], None]) -> None:
        """`reply` is called once, now or within REQUEST_TIMEOUT; RefusedError for what is refused at once."""
        ask = request["ask"]
        if ask in ("pause", "resume", "abort"):
            reply(self.control_rollout(ask, request["id"]))
        elif ask == "find":
            reply(self.describe_rollout(now, request["id"]))
        elif ask == "peers":
            record = self.coordinator.record
            reply({"book": record.status(), "log": record.body["log"]})
        elif len(self.pending) >= MAX_PENDING_REQUESTS:
            raise RefusedError(f"{MAX_PENDING_REQUESTS} requests wait already")
        else:
            reference = self.next_number()
            self.pending[reference] = PendingRequest(request, reply, now)
            self.try_pending(now, reference)

    def next_number(self) -> int:
        """One that this incarnation of the agent has not used."""
        self.last_number += 1
        return self.last_number

    # -- answered by any agent

    def control_rollout(self, ask: str, id: str) -> Answer:
        """Pauses, resumes or aborts a rollout here at once; the other agents are told."""
        coordinator, controls = self.coordinator, self.coordinator.controls
        if id not in coordinator.unfinished:
            known = coordinator.record.body["spans"].get(id)
            raise RefusedError(
                f"change {id} is {known['state']}" if known else f"no change {id} is known here"
            )
        if ask == "resume":
            if not controls.resume(id):
                raise RefusedError(f"change {id} has no pause that is known here")
        else:
            kind = ABORT if ask == "abort" else PAUSE
            mark = f"{coordinator.incarnation}.{self.next_number()}"
            if not controls.add(id, kind, "asked to", mark):
                raise RefusedError(f"change {id} has too many pauses; abort it")
        coordinator.share_controls(id)
        active = controls.active(id)
        return {
            "id": id,
            "state": STATE_BY_CONTROL[active.kind],
            "why": active.reason,
            "obeyed_by": coordinator.name,
            "driver": self.known_leader(),
        }

    def known_leader(self) -> str:
        """The leader that this agent sees, or empty."""
        record = self.coordinator.record
        return self.coordinator.name if record.role == Role.LEADER else record.leader

    def describe_rollout(self, now: float, id: str) -> Answer:
        """A rollout as this agent knows it; RefusedError where it knows none."""
        coordinator, record = self.coordinator, self.coordinator.record
        rollout = record.body["spans"].get(id)
        if rollout is None:
            raise RefusedError(f"no change {id} is known here")
        leader_silence = now - record.leader_heard_at_ms if record.role != Role.LEADER else 0.0
        active = coordinator.controls.active(id)
        is_paused = active.kind == PAUSE and rollout["state"] == RolloutState.RUNNING
        return {
            **rollout,
            "state": RolloutState.PAUSED if is_paused else rollout["state"],
            "why": rollout["why"] or active.reason,
            "waits": coordinator.wait_reasons.get(id, ""),
            "driver": self.known_leader(),
            "driver_heard_ms": round(leader_silence),
            "term": record.version[0],
            "revision": record.version[1],
            "told_by": coordinator.name,
        }

    def list_rollouts(self) -> list[Answer]:
        """All rollouts of the record, in short."""
        return [
            {key: rollout[key] for key in ("id", "kind", "state", "why")}
            | {"waits": self.coordinator.wait_reasons.get(rollout["id"], "")}
            for rollout in self.coordinator.record.body["spans"].values()
        ]

    # -- answered by the leader

    def try_pending(self, now: float, reference: int) -> None:
        """Answers a request as the leader, or forwards it; gives up once its time is over."""
        pending, leader = self.pending[reference], self.coordinator.record.leader
        if self.coordinator.controller is not None:
            answer = self.answer_or_refuse(now, pending.request, pending.waited(now))
            if answer is not None:
                self.complete(reference, answer)
                return
        elif leader and now - pending.forwarded_at >= FORWARD_INTERVAL:
            pending.forwarded_at = now
            forwarded = ForwardedRequest(reference, pending.request, pending.waited(now))
            self.coordinator.send(leader, forwarded)
        if pending.is_overdue(now):
            self.complete(reference, self.answer_overdue(pending.request))

    def complete(self, reference: int, answer: Answer) -> None:
        """Answers a pending request."""
        self.pending.pop(reference).reply(answer)

    def answer_overdue(self, request: Request) -> Answer:
        """What can be told without an answer of the leader."""
        if request["ask"] == "all":
            return self.describe_own_instances()
        leader = self.known_leader()
        if leader:
            text = f"{leader} drives, and it is not in force yet; the same command with --id asks again"
        else:
            voters = ", ".join(sorted(self.coordinator.record.voters()))
            text = (
                f"nobody drives that can be seen from {self.coordinator.name}: "
                f"a majority of {voters} is needed"
            )
        return {"refused": text}

    def describe_own_instances(self) -> Answer:
        """The instances of this agent alone."""
        coordinator = self.coordinator
        instances = coordinator.actions.report(coordinator.unfinished)["instances"]
        return {
            "instances": {f"{name}@{coordinator.name}": one for name, one in instances.items()},
            "driver": "",
            "unknown": [agent for agent in coordinator.record.members() if agent != coordinator.name],
            "spans": self.list_rollouts(),
        }

    def on_forwarded_request(self, now: float, sender: str, message: ForwardedRequest) -> None:
        """Another agent forwards its tool's request; without an answer now it forwards it again."""
        if self.coordinator.controller is None:
            return
        answer = self.answer_or_refuse(now, message.request, float(message.waited))
        if answer is not None:
            self.coordinator.send(sender, ForwardedAnswer(message.ref, answer))

    def on_forwarded_answer(self, sender: str, message: ForwardedAnswer) -> None:
        """The leader's answer; one of another agent is dropped."""
        if message.ref in self.pending and sender == self.coordinator.record.leader:
            self.complete(message.ref, message.answer)

    def answer_or_refuse(self, now: float, request: Request, waited: float) -> Answer | None:
        """As `answer`; whatever is wrong with a request makes a refusal and nothing worse."""
        try:
            return self.answer(now, request, waited)
        except RefusedError as problem:
            return {"refused": str(problem)}
        except (KeyError, TypeError, ValueError, AttributeError) as problem:
            return {"refused": f"a malformed command: {type(problem).__name__}: {problem}"}

    def answer(self, now: float, request: Request, waited: float) -> Answer | None:
        """The leader's answer; None while it is not committed, or too few agents have reported.

        `waited`: ms since the tool asked.
        """
        controller = self.coordinator.controller
        assert controller is not None
        ask = request["ask"]
        if ask in ("all", "span", "plan"):
            return self.answer_from_reports(now, controller, request, waited)
        if ask in ("admit", "dismiss"):
            return self.change_membership(now, controller, request)
        raise RefusedError(f"'{ask}' is none that is known")

    def answer_from_reports(
        self, now: float, controller: FleetRolloutController, request: Request, waited: float
    ) -> Answer | None:
        """Requests for which the agents must have reported."""
        ask, members = request["ask"], self.coordinator.record.members()
        unseen = [agent for agent in members if not controller.view.is_fresh(now, agent)]
        if unseen and now - controller.started_at_ms < FIRST_REPORTS_TIMEOUT:
            return None
        if ask == "all":
            return {
                "instances": controller.view.fresh_instances(now),
                "unknown": unseen,
                "driver": self.coordinator.name,
                "spans": self.list_rollouts(),
            }
        if waited < TARGETS_TIMEOUT:
            agents = {agent_of(key) for key in request["change"]["targets"]}
            if agents & set(unseen):
                return None  # an agent that has just come back is seen with its next report
        rollout_request = RolloutRequest.decode(request["change"])
        if ask == "plan":
            planned = controller.make_rollout(now, rollout_request)
            steps = list(planned.steps)
            return {"plan": steps, "batch": planned.batch, "floor": planned.minimum_available}
        if controller.request_rollout(now, rollout_request):
            return self.describe_rollout(now, rollout_request.id)
        return None

    def change_membership(
        self, now: float, controller: FleetRolloutController, request: Request
    ) -> Answer | None:
        """Admits or dismisses an agent; answered once that is committed."""
        ask, name, record = request["ask"], request["name"], self.coordinator.record
        if record.is_member(name) == (ask == "admit"):
            return {"members": record.members(), "log": record.body["log"]}
        if not controller.is_member_change_queued(name):
            if ask == "admit":
                controller.admit(name, request["by"])
            else:
                controller.dismiss(now, name, request["by"])
        return None
