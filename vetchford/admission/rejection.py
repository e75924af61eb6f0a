"""Why a request was rejected: one reason for each rule that rejects requests. No decisions."""

from enum import Enum


class RejectionReason(Enum):
    """The rule that rejected a request; the value is the dotted name, below `vetchford`, of its function.

    `docs/on-call.md` has a table of the metrics, the reasons and these functions.
    """

    DRAINING = "admission.health.Health.is_past_drain_grace"
    """The request arrived after the grace period of a graceful shutdown."""
    STALLED = "admission.health.Health.makes_no_progress"
    """All slots are taken and no run makes progress."""
    DEADLINE = "admission.completion_estimate.due_before_next_tick"
    """The request's deadline passes before the next tick."""
    LATENCY_OBJECTIVE = "admission.completion_estimate.CompletionEstimate.is_in_time"
    """The request is not expected to be answered within its latency objective."""
    MEMORY = "admission.admission_checks.AdmissionChecks.memory_fits"
    """The request's run would not fit into memory."""
    CLIENT_BYTES = "admission.in_flight_bytes.InFlightBytes.over_client_limit"
    """The client has too many unanswered bytes, and the request has the lowest priority of the client's."""
    NODE_BYTES = "admission.in_flight_bytes.InFlightBytes.over_node_limit"
    """Too many bytes are unanswered, and the request has the lowest priority.

    With bulkheads, the rule is `bulkheads.byte_sharing.ByteSharing.has_room`.
    """
    SUPERSEDED = "admission.lifecycle.RequestLifecycle.resolve_repeat"
    """The request was queued when a repeat of it arrived, which takes its place."""
