"""Why a request was rejected: one reason for each rule that rejects. No decisions."""

from enum import Enum


class RejectionReason(Enum):
    """The rule that rejected a request; its value is the function that holds the rule, below `vetchford`.

    `docs/on-call.md` has a table of the metrics, the reasons and these functions.
    """

    DRAINING = "admission.health.Health.is_past_drain_grace"
    """It arrived after the grace of a graceful shutdown."""
    STALLED = "admission.health.Health.makes_no_progress"
    """All slots are taken and no run makes progress."""
    DEADLINE = "admission.completion_estimate.due_before_next_tick"
    """Its deadline passes before the next tick."""
    LATENCY_OBJECTIVE = "admission.completion_estimate.CompletionEstimate.is_in_time"
    """It is not expected to be answered within its latency objective."""
    MEMORY = "admission.admission_checks.AdmissionChecks.memory_fits"
    """Its run would not fit into memory."""
    CLIENT_BYTES = "admission.in_flight_bytes.InFlightBytes.over_client_limit"
    """Its client has too many bytes unanswered, and it has the lowest priority of that client's requests."""
    NODE_BYTES = "admission.in_flight_bytes.InFlightBytes.over_node_limit"
    """Too many bytes are unanswered, and it has the lowest priority."""
    SUPERSEDED = "admission.lifecycle.RequestLifecycle.resolve_repeat"
    """It was queued when a repeat of it arrived, which takes its place."""
