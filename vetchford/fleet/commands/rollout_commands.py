"""What commands that begin or follow a rollout have in common, over one agent or a fleet."""

import time
import uuid
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from vetchford.fleet.agent_client import Answer, UnreachableError
from vetchford.fleet.commands.exit_status import ROLLOUT_EXIT_STATUS, ExitStatus
from vetchford.fleet.commands.options import ROLLOUT_KINDS, Options
from vetchford.fleet.commands.output import print_error, report_refusal
from vetchford.fleet.rollout import StepState

RETRY_INTERVAL = 0.2  # s until an agent that did not reply is asked again


def new_rollout_id() -> str:
    """Return an id for a rollout that the operator gave none."""
    return uuid.uuid4().hex[:12]


def rollout_fields(options: Options, id: str, targets: list[str]) -> dict[str, Any]:
    """Return the fields of a request that begins a rollout."""
    return {
        "id": id,
        "kind": ROLLOUT_KINDS[options.command],
        "targets": targets,
        "version": options.version,
        "spacing": options.spacing,
        "soak": options.soak,
        "on_failure": options.on_failure,
        "batch": options.batch,
        "floor": options.floor,
    }


def report_submission(options: Options, id: str, answer: Answer, wait_command: str) -> ExitStatus:
    """Say what was begun or planned, or why it was refused; return the exit status."""
    if options.plain and "plan" in answer:
        print(f"would {options.command}, {answer['batch']} at once: {', '.join(answer['plan'])}")
    elif options.plain and "id" in answer:
        print(f"change {id} has begun; `{wait_command} {id}` follows it")
    return report_refusal(answer)


def no_reason_to_wait(answer: Answer) -> str:
    """Return why the rollout waits, of an answer that does not say."""
    return ""


@dataclass(slots=True)
class Follower:
    """Waits until a rollout ends or pauses, and prints its progress.

    An agent that is restarted meanwhile is asked again.
    """

    id: str
    options: Options
    find: Callable[[], Answer]
    poll_interval: float  # s
    unreachable_timeout: float  # s without any reply until the waiting is given up
    reason_to_wait: Callable[[Answer], str] = no_reason_to_wait

    def follow(self) -> tuple[Answer, ExitStatus]:
        """Return the last answer and the exit status. Raises UnreachableError."""
        deadline = time.monotonic() + self.options.patience
        steps: dict[str, str] = {}
        reason = ""
        while True:
            answer = self._find()
            if "refused" in answer:
                return answer, report_refusal(answer)
            self._report_steps(steps, answer["steps"])
            steps = answer["steps"]
            reason = self._report_reason(reason, self.reason_to_wait(answer))
            if answer["state"] in ROLLOUT_EXIT_STATUS:
                return answer, self._report_end(answer)
            if time.monotonic() > deadline:
                print_error(f"change {self.id} is still {answer['state']}")
                return answer, ExitStatus.FAILED
            time.sleep(self.poll_interval)

    def _find(self) -> Answer:
        unreachable_since = 0.0
        while True:
            try:
                return self.find()
            except UnreachableError:
                unreachable_since = unreachable_since or time.monotonic()
                if time.monotonic() - unreachable_since > self.unreachable_timeout:
                    raise
                time.sleep(RETRY_INTERVAL)

    def _report_steps(self, previous: dict[str, str], steps: dict[str, str]) -> None:
        for name, step in steps.items():
            if self.options.plain and previous.get(name) != step and step != StepState.PENDING:
                print(f"{name} {step}", flush=True)

    def _report_reason(self, previous: str, reason: str) -> str:
        if self.options.plain and reason and reason != previous:
            print(f"waits: {reason}", flush=True)
        return reason

    def _report_end(self, answer: Answer) -> ExitStatus:
        if self.options.plain:
            killed = answer["killed"]
            late = f"; killed at their stop time: {', '.join(killed)}" if killed else ""
            print(f"change {self.id} {answer['state']}: {answer['why']}{late}")
        return ROLLOUT_EXIT_STATUS[answer["state"]]
