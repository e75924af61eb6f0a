"""Functions shared by commands that start or wait for a rollout, on one agent or a fleet."""

import time
import uuid
from collections.abc import Callable
from dataclasses import dataclass
from typing import Generic, TypeVar

from vetchford.fleet.agent_client import ReceivedReply, UnreachableError
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

RETRY_INTERVAL_S = 0.2  # until the request to an agent that did not reply is repeated

CONTROL_REQUESTS: dict[Command, type[ControlRequest]] = {
    Command.PAUSE: PauseRequest,
    Command.RESUME: ResumeRequest,
    Command.ABORT: AbortRequest,
}

RolloutStatusT = TypeVar("RolloutStatusT", bound=RolloutStatus)


def new_rollout_id() -> str:
    """Generate an id for a rollout that was requested without one."""
    return uuid.uuid4().hex[:12]


def rollout_request(options: Options, id: str, targets: list[str]) -> RolloutRequest:
    """Return the rollout that the options request."""
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


def report_plan(options: Options, reply: ReceivedReply[PlanReply]) -> CommandResult:
    """Print the plan of a rollout."""
    if options.prints_text:
        plan = reply.decoded
        print(f"would {options.command}, {plan.batch} at once: {', '.join(plan.targets)}")
    return CommandResult(reply.encoded, ExitStatus.DONE)


def report_submission(
    options: Options, id: str, reply: ReceivedReply[RolloutStatusT], wait_command: str
) -> CommandResult:
    """Print that a rollout was started, and the command that waits for it."""
    if options.prints_text:
        print(f"change {id} has begun; `{wait_command} {id}` follows it")
    return CommandResult(reply.encoded, ExitStatus.DONE)


def no_wait_reason(rollout: RolloutStatus) -> str:
    """Return no reason, for a rollout status that contains none."""
    return ""


@dataclass(slots=True)
class RolloutWaiter(Generic[RolloutStatusT]):
    """Waits until a rollout ends or pauses, and prints its progress.

    Requests to an agent that is restarted meanwhile are repeated.
    """

    id: str
    options: Options
    find: Callable[[], ReceivedReply[RolloutStatusT]]
    poll_interval_s: float
    unreachable_timeout_s: float  # without any reply until the wait is given up
    wait_reason: Callable[[RolloutStatusT], str] = no_wait_reason

    def wait(self) -> CommandResult:
        """Return the last reply and the exit status. Raises UnreachableError, RefusedError."""
        deadline_s = time.monotonic() + self.options.patience_s
        steps: dict[str, str] = {}
        reason = ""
        while True:
            reply = self._find()
            rollout = reply.decoded
            self._report_steps(steps, rollout.steps)
            steps = rollout.steps
            reason = self._report_reason(reason, self.wait_reason(rollout))
            if rollout.state in ROLLOUT_EXIT_STATUS:
                return CommandResult(reply.encoded, self._report_end(rollout))
            if time.monotonic() > deadline_s:
                print_error(f"timed out: change {self.id} is still {rollout.state}")
                return CommandResult(reply.encoded, ExitStatus.FAILED)
            time.sleep(self.poll_interval_s)

    def _find(self) -> ReceivedReply[RolloutStatusT]:
        unreachable_since_s = 0.0
        while True:
            try:
                return self.find()
            except UnreachableError:
                unreachable_since_s = unreachable_since_s or time.monotonic()
                if time.monotonic() - unreachable_since_s > self.unreachable_timeout_s:
                    raise
                time.sleep(RETRY_INTERVAL_S)

    def _report_steps(self, previous: dict[str, str], steps: dict[str, str]) -> None:
        for name, step in steps.items():
            if self.options.prints_text and previous.get(name) != step and step != StepState.PENDING:
                print(f"{name} {step}", flush=True)

    def _report_reason(self, previous: str, reason: str) -> str:
        if self.options.prints_text and reason and reason != previous:
            print(f"waits: {reason}", flush=True)
        return reason

    def _report_end(self, rollout: RolloutStatus) -> ExitStatus:
        if self.options.prints_text:
            killed = f"; killed at their stop time: {', '.join(rollout.killed)}" if rollout.killed else ""
            print(f"change {self.id} {rollout.state}: {rollout.reason}{killed}")
        return ROLLOUT_EXIT_STATUS[RolloutState(rollout.state)]
