"""The rule by which an agent obeys a leader's order. No I/O; times in ms, by the agent's own clock.

Messages come late, doubled, or from an agent that no longer leads. Each of the conditions of `find_refusal`
keeps one of these from taking an instance out of service on an old view of the fleet.
"""

from vetchford.fleet.consensus import ReplicatedRecord
from vetchford.fleet.coordinator_messages import StepOrder
from vetchford.fleet.rollout_controls import RolloutControls

MAX_ORDER_AGE_MS = 3000.0  # since the report that an order rests on: six rounds of a busy site
MAX_KNOWN_REPORTS = 16  # numbers of our reports; older ones are over MAX_ORDER_AGE_MS


class OrderGuard:
    """Decides on orders; remembers the reports that this agent has sent."""

    def __init__(self, name: str, record: ReplicatedRecord, controls: RolloutControls) -> None:
        """`record` and `controls`: those of the agent `name`, which keeps them up to date."""
        self.name = name
        self.record = record
        self.controls = controls
        self.reports_sent_at_ms: dict[int, float] = {}  # by number; the oldest go

    def note_report_sent(self, now_ms: float, number: int) -> None:
        """A report went out; orders may rest on it for `MAX_ORDER_AGE_MS`."""
        self.reports_sent_at_ms[number] = now_ms
        while len(self.reports_sent_at_ms) > MAX_KNOWN_REPORTS:
            del self.reports_sent_at_ms[next(iter(self.reports_sent_at_ms))]

    def find_refusal(self, now_ms: float, sender: str, order: StepOrder, *, is_current_leader: bool) -> str:
        """Why an order must not be carried out, as text for operators; empty where it may.

        It is carried out only under the highest term that this agent has voted in (`is_current_leader`),
        resting on a report that this agent itself sent `MAX_ORDER_AGE_MS` ago at most, and where no pause or
        abort that is known here stands against it.
        """
        if not is_current_leader:
            return f"term {order.term} of {sender}, voted in term {self.record.promised_term}"
        report_sent_at_ms = self.reports_sent_at_ms.get(order.number)
        if report_sent_at_ms is None or now_ms - report_sent_at_ms > MAX_ORDER_AGE_MS:
            return "it rests on a report that is old"
        control = self.controls.active(order.step.rollout_id)
        if control.kind:
            return f"{control.kind}: {control.reason}"
        return ""
