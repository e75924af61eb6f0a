"""For how long idle client connections are kept open."""

from vetchford.admission.actions import AdmissionActions
from vetchford.admission.traffic import RecentTraffic

CONNECT_COST_S = 5.0
"""Time for which an open connection costs as much as a new one."""
MIN_IDLE_TIMEOUT_MS = 10.0
UNCHANGED_ABOVE = 0.8
UNCHANGED_BELOW = 1.25
"""Ratios of the wanted timeout to the one in force between which it is left as it is."""
WASTED_WEIGHT = 0.02
PRESSURE_FADE = 0.995
"""Factor on the pressure with each tick: a full table opens over ten seconds."""
READ_DELAY_SLOPE = 2.0
READ_DELAY_OFFSET = 0.2
"""Pressure rises from a wait to be read of a tenth of the latency objective."""
WASTED_SLOPE = 6.0
WASTED_OFFSET = 3.6
"""Pressure rises from six tenths of the cores that read what is rejected."""


class IdleTimeout:
    """Closes idle connections sooner the less often clients come.

    Idle connections of clients that seldom come only fill the connection table. A full table rejects new
    connections unread, which helps while reading itself is the overload.
    """

    def __init__(
        self, actions: AdmissionActions, traffic: RecentTraffic, max_idle_timeout_ms: float, clients: int
    ) -> None:
        """`max_idle_timeout_ms`: longest timeout, 0: none is closed; `clients`: that hold connections."""
        self.actions = actions
        self.traffic = traffic
        self.max_idle_timeout_ms = max_idle_timeout_ms
        self.clients = max(1, clients)
        self.idle_timeout_ms = max_idle_timeout_ms
        """In force."""
        self.table_pressure = 0.0
        """Fraction of the longest timeout for which connections are kept, however seldom clients come."""
        self.wasted = 0.0
        """Fraction of the cores that reads what is rejected."""

    def update(self, read_delay_ratio: float, reading: float) -> None:
        """Set the timeout, once a tick.

        Args:
            read_delay_ratio: Wait to be read over the latency objective.
            reading: Fraction of the cores that reads.
        """
        self._update_table_pressure(read_delay_ratio, reading)
        timeout_ms = self._wanted_ms()
        if not self.max_idle_timeout_ms:
            return
        if not UNCHANGED_ABOVE < timeout_ms / self.idle_timeout_ms < UNCHANGED_BELOW:
            self.idle_timeout_ms = timeout_ms
            self.actions.set_idle_timeout(timeout_ms)

    def _update_table_pressure(self, read_delay_ratio: float, reading: float) -> None:
        """Let the connection table fill while reading comes too late or is mostly wasted."""
        wasted = reading * self.traffic.rejections / max(1.0, self.traffic.arrivals)
        self.wasted += WASTED_WEIGHT * (wasted - self.wasted)
        self.table_pressure = max(
            PRESSURE_FADE * self.table_pressure,
            READ_DELAY_SLOPE * read_delay_ratio - READ_DELAY_OFFSET,
            WASTED_SLOPE * self.wasted - WASTED_OFFSET,
        )

    def _wanted_ms(self) -> float:
        """Return the timeout by the square of how often a client comes in `CONNECT_COST_S`."""
        use = (CONNECT_COST_S * self.traffic.arrival_rate / self.clients) ** 2
        return max(MIN_IDLE_TIMEOUT_MS, self.max_idle_timeout_ms * min(1.0, max(self.table_pressure, use)))
