"""Sends the one final answer of each request."""

import math

from vetchford.admission.request import Outcome
from vetchford.protocol import json_rpc
from vetchford.runtime.metrics import Metrics
from vetchford.server.request_table import RequestEntry, RequestTable

COMPLETED = Outcome.COMPLETED  # a module global, as each access through the enum class costs a method call


class RequestAnswers:
    """Sends answers to clients and counts them. Used only on the admission actor's thread."""

    def __init__(self, requests: RequestTable, metrics: Metrics) -> None:
        """Answer the requests of the table `requests`."""
        self.requests = requests
        self.metrics = metrics

    def complete(self, entry: RequestEntry, content: str) -> None:
        """Answer with the result of a run, in base64."""
        self._send(entry, json_rpc.completed(entry.rpc_id, content), "finished")

    def fail(self, entry: RequestEntry) -> None:
        """Answer with an error that leaves open whether the request had an effect; counted as `abandoned`."""
        self._send(entry, json_rpc.failed(entry.rpc_id), "abandoned")

    def reject(self, entry: RequestEntry, terminal: bool, retry_after_ms: float, counter: str) -> None:
        """Answer that the request never ran.

        `terminal`: the client must not retry. `retry_after_ms`: 0 for no retry-after. `counter`: the metric
        that counts the rejection.
        """
        self._send(entry, json_rpc.rejected(entry.rpc_id, terminal, retry_after_ms), counter)

    def run_ended(self, entry: RequestEntry, outcome: Outcome, content: str) -> None:
        """Answer with the outcome of the run, unless the request was already answered."""
        if entry.answered:
            self.metrics.increment("runs_unwanted")
        elif outcome == COMPLETED:
            self.complete(entry, content)
        else:
            self.fail(entry)

    def fail_overdue(self, before_ms: float, deadline_ms: float = math.inf) -> None:
        """Fail the unanswered requests that were due before `before_ms`, by the server's clock.

        Every request counts as due by `deadline_ms` at the latest. This is a safeguard against faults of the
        controller, which normally answers in time.
        """
        for entry in self.requests.unanswered_entries():
            if min(entry.answer_due_ms, deadline_ms) < before_ms:
                self.metrics.log_sampled("must_hold_broken", what="answered_in_time", task=entry.request_id)
                self.fail(entry)

    def count_unanswered(self) -> int:
        """Return the number of requests without an answer."""
        return sum(1 for _ in self.requests.unanswered_entries())

    def _send(self, entry: RequestEntry, parts: list[bytes], counter: str) -> None:
        if self.metrics.check_invariant(not entry.answered, "one_answer", task=entry.request_id):
            entry.answered = True
            self.metrics.increment(counter)
            entry.client.answer(entry.rpc_id, parts)
