"""Pauses, resumes and aborts of fleet rollouts, from whichever agent they were given to. No I/O.

Each pause has an id of its own; a resume ends the pauses that its agent had seen and no other, and an abort
never ends. So two copies are merged by union, in any order and any number of times (an observed-remove set;
Shapiro and others, 2011), and a resume by a stale copy cannot end a pause that it did not know of. Every
agent obeys what it has at once, whether or not it sees the leader.
"""

from collections.abc import Container
from typing import Any, NamedTuple, TypedDict

PAUSE = "pause"
ABORT = "abort"
MAX_CONTROLS = 64  # of one rollout: more is a script that went wrong


class EncodedControls(TypedDict):
    """The controls of one rollout, as agents exchange and store them."""

    halts: dict[str, list[str]]  # [kind, reason] by the control's id, which begins with its agent
    lifted: list[str]  # ids of pauses that a resume has ended, sorted


class ActiveControl(NamedTuple):
    """What holds a rollout up: `kind` is PAUSE, ABORT or empty for nothing."""

    kind: str
    reason: str


def no_controls() -> EncodedControls:
    """Of a rollout that was neither paused nor aborted."""
    return {"halts": {}, "lifted": []}


class RolloutControls:
    """What one agent knows of the controls; `forget_all_but` empties it as rollouts end.

    The agent's thread alone calls it.
    """

    def __init__(self, name: str) -> None:
        """`name`: of this agent."""
        self.name = name
        self.by_rollout: dict[str, EncodedControls] = {}

    def of(self, rollout_id: str) -> EncodedControls:
        """The controls of one rollout."""
        return self.by_rollout.get(rollout_id, no_controls())

    def encoded(self) -> dict[str, Any]:
        """The controls of all rollouts, as agents exchange them."""
        return dict(self.by_rollout)

    def add(self, rollout_id: str, kind: str, reason: str, mark: str) -> bool:
        """Adds a pause or an abort, whose id `mark` makes unique on this agent.

        False where there are too many pauses.
        """
        controls = self.by_rollout.setdefault(rollout_id, no_controls())
        if len(controls["halts"]) >= MAX_CONTROLS and kind != ABORT:
            return False
        controls["halts"][f"{self.name}.{mark}"] = [kind, reason]
        return True

    def resume(self, rollout_id: str) -> list[str]:
        """Ends all pauses known here, and returns their ids."""
        controls = self.of(rollout_id)
        paused = [
            id
            for id, (kind, _) in controls["halts"].items()
            if kind == PAUSE and id not in controls["lifted"]
        ]
        if paused:
            controls["lifted"] = sorted({*controls["lifted"], *paused})
        return paused

    def active(self, rollout_id: str) -> ActiveControl:
        """What holds a rollout up: an abort before a pause, each with the agent that it was given to."""
        controls = self.of(rollout_id)
        halts = sorted(controls["halts"].items())
        for id, (kind, reason) in halts:
            if kind == ABORT:
                return ActiveControl(ABORT, f"{reason} ({id.partition('.')[0]})")
        for id, (_, reason) in halts:
            if id not in controls["lifted"]:
                return ActiveControl(PAUSE, f"{reason} ({id.partition('.')[0]})")
        return ActiveControl("", "")

    def merge(self, theirs: dict[str, EncodedControls], known: Container[str]) -> list[str]:
        """Takes in another agent's copy; the rollouts of which something new was learnt.

        `known`: the rollouts that have not ended; what is said of others is dropped.
        """
        changed = []
        for rollout_id, controls in theirs.items():
            if rollout_id not in known:
                continue
            mine = self.by_rollout.setdefault(rollout_id, no_controls())
            halts = {**controls["halts"], **mine["halts"]}
            lifted = sorted({*mine["lifted"], *controls["lifted"]})
            if halts != mine["halts"] or lifted != mine["lifted"]:
                self.by_rollout[rollout_id] = {"halts": halts, "lifted": lifted}
                changed.append(rollout_id)
        return changed

    def forget_all_but(self, known: Container[str]) -> list[str]:
        """Drops the rollouts that have ended, and returns their ids."""
        ended = [rollout_id for rollout_id in self.by_rollout if rollout_id not in known]
        for rollout_id in ended:
            del self.by_rollout[rollout_id]
        return ended
