"""Pauses, resumes and aborts of fleet rollouts, which an operator may request at any agent. No I/O.

Each pause has a unique id. A resume ends the pauses that its agent knows of and no others; an abort is never
ended. Two copies are therefore merged by union, in any order and any number of times (an observed-remove set;
Shapiro and others, 2011), and a resume on a stale copy cannot end a pause that the copy does not contain.
Each agent applies the controls that it knows of at once, whether or not it can reach the leader.
"""

from collections.abc import Container
from typing import Any, NamedTuple, TypedDict

PAUSE = "pause"
ABORT = "abort"
MAX_CONTROLS = 64  # for one rollout; more point to a faulty script


class EncodedControls(TypedDict):
    """The controls of one rollout, as agents exchange and store them."""

    halts: dict[str, list[str]]  # [kind, reason] by control id, which begins with the agent's name
    lifted: list[str]  # sorted ids of pauses that a resume has ended


class ActiveControl(NamedTuple):
    """The control in effect for a rollout; `kind` is PAUSE, ABORT or empty for none."""

    kind: str
    reason: str


def no_controls() -> EncodedControls:
    """Return the controls of a rollout that was neither paused nor aborted."""
    return {"halts": {}, "lifted": []}


class RolloutControls:
    """The controls that one agent knows of; `discard_ended` drops them as rollouts end.

    Only the agent's thread calls it.
    """

    def __init__(self, name: str) -> None:
        """Start without controls, on the agent `name`."""
        self.name = name
        self.by_rollout: dict[str, EncodedControls] = {}

    def controls_of(self, rollout_id: str) -> EncodedControls:
        """Return the controls of one rollout."""
        return self.by_rollout.get(rollout_id, no_controls())

    def encoded(self) -> dict[str, Any]:
        """Return the controls of all rollouts, as agents exchange them."""
        return dict(self.by_rollout)

    def add(self, rollout_id: str, kind: str, reason: str, unique_suffix: str) -> bool:
        """Add a pause or an abort, whose id ends with `unique_suffix`.

        Return False if the rollout has too many controls and this is not an abort.
        """
        controls = self.by_rollout.setdefault(rollout_id, no_controls())
        if len(controls["halts"]) >= MAX_CONTROLS and kind != ABORT:
            return False
        controls["halts"][f"{self.name}.{unique_suffix}"] = [kind, reason]
        return True

    def resume(self, rollout_id: str) -> list[str]:
        """End all pauses that this agent knows of, and return their ids."""
        controls = self.controls_of(rollout_id)
        paused = [
            id
            for id, (kind, _) in controls["halts"].items()
            if kind == PAUSE and id not in controls["lifted"]
        ]
        if paused:
            controls["lifted"] = sorted({*controls["lifted"], *paused})
        return paused

    def active_control(self, rollout_id: str) -> ActiveControl:
        """Return the control in effect, an abort before a pause; its reason names the requesting agent."""
        controls = self.controls_of(rollout_id)
        halts = sorted(controls["halts"].items())
        for id, (kind, reason) in halts:
            if kind == ABORT:
                return ActiveControl(ABORT, f"{reason} ({id.partition('.')[0]})")
        for id, (_, reason) in halts:
            if id not in controls["lifted"]:
                return ActiveControl(PAUSE, f"{reason} ({id.partition('.')[0]})")
        return ActiveControl("", "")

    def merge(self, received: dict[str, EncodedControls], unfinished: Container[str]) -> list[str]:
        """Merge another agent's copy; return the ids of the rollouts whose controls changed.

        `unfinished`: ids of the rollouts that have not ended; controls of other rollouts are ignored.
        """
        changed = []
        for rollout_id, controls in received.items():
            if rollout_id not in unfinished:
                continue
            own = self.by_rollout.setdefault(rollout_id, no_controls())
            halts = {**controls["halts"], **own["halts"]}
            lifted = sorted({*own["lifted"], *controls["lifted"]})
            if halts != own["halts"] or lifted != own["lifted"]:
                self.by_rollout[rollout_id] = {"halts": halts, "lifted": lifted}
                changed.append(rollout_id)
        return changed

    def discard_ended(self, unfinished: Container[str]) -> list[str]:
        """Drop the controls of the rollouts that have ended, and return the ids of these rollouts."""
        ended = [rollout_id for rollout_id in self.by_rollout if rollout_id not in unfinished]
        for rollout_id in ended:
            del self.by_rollout[rollout_id]
        return ended
