"""Rules by which an agent accepts a leader's orders. No I/O; times in ms, by the agent's own clock.

Orders may arrive late, duplicated, or from an agent that no longer leads. Each condition of `find_refusal`
prevents one of these from taking an instance out of service on the basis of an outdated view of the fleet.
"""

from vetchford.fleet.consensus import ReplicatedRecord
from vetchford.fleet.coordinator_messages import StepOrder
from vetchford.fleet.rollout_controls import RolloutControls

# Since the report that an order is based on; twelve reports at one every `fleet_rollout.POLL_INTERVAL_MS`.
MAX_ORDER_AGE_MS = 3000.0
MAX_KNOWN_REPORTS = 16  # report numbers that are remembered: those of 4 s, which is above MAX_ORDER_AGE_MS


class OrderGuard:
    """Checks orders against the reports that this agent has sent, its record and its controls."""

    def __init__(self, name: str, record: ReplicatedRecord, controls: RolloutControls) -> None:
        """Start without reports; `record` and `controls` are those of the agent `name`, kept up to date."""
        self.name = name
        self.record = record
        self.controls = controls
        self.reports_sent_at_ms: dict[int, float] = {}  # by number; the oldest are dropped

    def note_report_sent(self, now_ms: float, number: int) -> None:
        """Remember a report; orders based on it are accepted for `MAX_ORDER_AGE_MS`."""
        self.reports_sent_at_ms[number] = now_ms
        while len(self.reports_sent_at_ms) > MAX_KNOWN_REPORTS:
            del self.reports_sent_at_ms[next(iter(self.reports_sent_at_ms))]

    def find_refusal(
        self, now_ms: float, sender: str, order: StepOrder, *, is_current_leader: bool, has_begun: bool
    ) -> str:
        """Return why an order must not be carried out, as text for the log; empty if it may be.

        An order is carried out only if it is of the highest term that this agent has voted in
        (`is_current_leader`), is based on a report that this agent sent at most `MAX_ORDER_AGE_MS` ago, and
        this agent knows of no pause or abort of its rollout. A step that has begun (`has_begun`), and that
        the order resumes after a failure of the store, goes on to its end whatever the control.
        """
        if not is_current_leader:
            return f"term {order.term} of {sender}, voted in term {self.record.promised_term}"
        report_sent_at_ms = self.reports_sent_at_ms.get(order.number)
        if report_sent_at_ms is None or now_ms - report_sent_at_ms > MAX_ORDER_AGE_MS:
            return "it rests on a report that is old"
        control = self.controls.active_control(order.step.rollout_id)
        if control.kind and not has_begun:
            return f"{control.kind}: {control.reason}"
        return ""
