"""What commands that begin or follow a rollout have in common, over one agent or a fleet."""

import time
import uuid
from collections.abc import Callable
from dataclasses import dataclass
from typing import Generic, TypeVar

from vetchford.fleet.agent_client import Answer, UnreachableError
from vetchford.fleet.agent_messages import (
    AbortRequest,
    ControlRequest,
    PauseRequest,
    PlanReply,
    ResumeRequest,
    RolloutRequest,
    RolloutStatus,
)
from vetchford.fleet.commands.exit_status import ROLLOUT_EXIT_STATUS, ExitStatus
from vetchford.fleet.commands.options import ROLLOUT_KINDS, Command, Options
from vetchford.fleet.commands.output import CommandResult, print_error
from vetchford.fleet.rollout import RolloutState, StepState

RETRY_INTERVAL_S = 0.2  # until an agent that did not reply is asked again

CONTROL_REQUESTS: dict[Command, type[ControlRequest]] = {
    Command.PAUSE: PauseRequest,
    Command.RESUME: ResumeRequest,
    Command.ABORT: AbortRequest,
}

RolloutStatusT = TypeVar("RolloutStatusT", bound=RolloutStatus)


def new_rollout_id() -> str:
    """Return an id for a rollout that the operator gave none."""
    return uuid.uuid4().hex[:12]


def rollout_request(options: Options, id: str, targets: list[str]) -> RolloutRequest:
    """Return the request that the options describe."""
    return RolloutRequest(
        id=id,
        kind=ROLLOUT_KINDS[options.command],
        targets=targets,
        version=options.version,
        start_interval_ms=options.start_interval_ms,
        minimum_ready_ms=options.minimum_ready_ms,
        on_failure=options.on_failure,
        batch=options.batch,
        minimum_available=options.minimum_available,
    )


def report_plan(options: Options, answer: Answer[PlanReply]) -> CommandResult:
    """Say what would be begun."""
    if options.plain:
        plan = answer.reply
        print(f"would {options.command}, {plan.batch} at once: {', '.join(plan.targets)}")
    return CommandResult(answer.encoded, ExitStatus.DONE)


def report_submission(
    options: Options, id: str, answer: Answer[RolloutStatusT], wait_command: str
) -> CommandResult:
    """Say what was begun, and how to follow it."""
    if options.plain:
        print(f"change {id} has begun; `{wait_command} {id}` follows it")
    return CommandResult(answer.encoded, ExitStatus.DONE)


def no_reason_to_wait(rollout: RolloutStatus) -> str:
    """Return why the rollout waits, of a status that does not say."""
    return ""


@dataclass(slots=True)
class Follower(Generic[RolloutStatusT]):
    """Waits until a rollout ends or pauses, and prints its progress.

    An agent that is restarted meanwhile is asked again.
    """

    id: str
    options: Options
    find: Callable[[], Answer[RolloutStatusT]]
    poll_interval_s: float
    unreachable_timeout_s: float  # without any reply until the waiting is given up
    reason_to_wait: Callable[[RolloutStatusT], str] = no_reason_to_wait

    def follow(self) -> CommandResult:
        """Return the last answer and the exit status. Raises UnreachableError, RefusedError."""
        deadline = time.monotonic() + self.options.patience_s
        steps: dict[str, str] = {}
        reason = ""
        while True:
            answer = self._find()
            rollout = answer.reply
            self._report_steps(steps, rollout.steps)
            steps = rollout.steps
            reason = self._report_reason(reason, self.reason_to_wait(rollout))
            if rollout.state in ROLLOUT_EXIT_STATUS:
                return CommandResult(answer.encoded, self._report_end(rollout))
            if time.monotonic() > deadline:
                print_error(f"change {self.id} is still {rollout.state}")
                return CommandResult(answer.encoded, ExitStatus.FAILED)
            time.sleep(self.poll_interval_s)

    def _find(self) -> Answer[RolloutStatusT]:
        unreachable_since = 0.0
        while True:
            try:
                return self.find()
            except UnreachableError:
                unreachable_since = unreachable_since or time.monotonic()
                if time.monotonic() - unreachable_since > self.unreachable_timeout_s:
                    raise
                time.sleep(RETRY_INTERVAL_S)

    def _report_steps(self, previous: dict[str, str], steps: dict[str, str]) -> None:
        for name, step in steps.items():
            if self.options.plain and previous.get(name) != step and step != StepState.PENDING:
                print(f"{name} {step}", flush=True)

    def _report_reason(self, previous: str, reason: str) -> str:
        if self.options.plain and reason and reason != previous:
            print(f"waits: {reason}", flush=True)
        return reason

    def _report_end(self, rollout: RolloutStatus) -> ExitStatus:
        if self.options.plain:
            late = f"; killed at their stop time: {', '.join(rollout.killed)}" if rollout.killed else ""
            print(f"change {self.id} {rollout.state}: {rollout.reason}{late}")
        return ROLLOUT_EXIT_STATUS[RolloutState(rollout.state)]
