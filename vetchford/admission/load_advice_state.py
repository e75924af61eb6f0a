"""Settings and state of the advice to clients. No decisions."""

from dataclasses import dataclass

from vetchford.admission.actions import AdmissionActions
from vetchford.admission.settings import LoadSignal


@dataclass(frozen=True, slots=True)
class AdviceSettings:
    """Settings of `LoadAdvice`."""

    seed: int
    """Of the random spread of retry delays."""
    signal: LoadSignal
    max_retry_after_ms: float
    clients: int
    cores: int
    idle_timeout_ms: float
    """Longest duration for which an idle connection is kept open; 0: nothing is closed."""


@dataclass(eq=False)
class LoadAdviceState:
    """Counts and averages that the advice is computed from."""

    actions: AdmissionActions
    settings: AdviceSettings
    arrivals: float = 0.0
    """Of about a second, as the next two."""
    retries: float = 0.0
    rejections: float = 0.0
    arrival_rate: float = 0.0
    """Arrivals of about a second, averaged over some five seconds."""
    ticks: int = 0
    """Ticks so far, up to 100."""
    table_pressure: float = 0.0
    """Fraction of the idle timeout for which connections are kept whatever they bring."""
    wasted: float = 0.0
    """Fraction of the cores that reads what is rejected."""
    open_fraction: float = 1.0
    """Fraction of the usual traffic that is wanted."""
    published: float = -1.0
    """The load value published last."""
    mean_retry_after_ms: float = 0.0
    draws: int = 0
    """Random numbers drawn."""
    fleet_full: bool = False
    """As the fleet measures: all servers reject."""
    retry_after_factor: float = 1.0
    """As the fleet measures: how much longer clients are to back off."""

    def __post_init__(self) -> None:
        """For what is computed from the settings."""
