"""State of a server's health. No decisions."""

import math
from dataclasses import dataclass

from vetchford.admission.actions import AdmissionActions
from vetchford.admission.workload import Workload


@dataclass(eq=False)
class HealthState:
    """What readiness is judged by; times are milliseconds on the controller's clock."""

    actions: AdmissionActions
    workload: Workload
    stalled: bool = False
    """All slots are taken and no run makes progress."""
    ready: bool = True
    """As published last."""
    last_progress_at_ms: float = 0.0
    notice_at_ms: float = math.inf
    """When the termination notice came."""
    kill_at_ms: float = math.inf
    """When all must be answered before the process is killed."""
    read_delay_ratio: float = 0.0
    """Recent wait to be read over the latency objective."""
