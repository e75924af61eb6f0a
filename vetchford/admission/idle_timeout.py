"""How long idle client connections are kept open."""

from vetchford.admission.actions import AdmissionActions
from vetchford.admission.traffic import RecentTraffic

CONNECT_COST_S = 5.0
"""Mean time between a client's requests up to which idle connections get the longest timeout.

Keeping a connection idle for about this long costs the server as much as opening a new one.
"""
MIN_IDLE_TIMEOUT_MS = 10.0
UNCHANGED_ABOVE = 0.8
UNCHANGED_BELOW = 1.25
"""The timeout is left as it is while the ratio of target to current timeout is between these."""
WASTED_READING_WEIGHT = 0.02
PRESSURE_DECAY = 0.995
"""Factor on the table pressure with each tick: it subsides over ten seconds."""
READ_DELAY_SLOPE = 2.0
READ_DELAY_OFFSET = 0.2
"""The table pressure is at least slope * (read delay / latency objective) - offset.

So it rises once the read delay exceeds a tenth of the latency objective.
"""
WASTED_READING_SLOPE = 6.0
WASTED_READING_OFFSET = 3.6
"""The table pressure is at least slope * (fraction of the cores that reads rejected requests) - offset.

So it rises once more than six tenths of the cores read requests that are rejected.
"""


class IdleTimeout:
    """Closes idle connections sooner the less often clients send requests.

    Idle connections of clients that seldom send requests only fill the connection table. But a full table
    rejects new connections without reading them, which helps while reading causes the overload.
    """

    def __init__(
        self, actions: AdmissionActions, traffic: RecentTraffic, max_idle_timeout_ms: float, clients: int
    ) -> None:
        """Start with the longest timeout.

        Args:
            actions: Actions that set the timeout.
            traffic: Recent traffic of the server.
            max_idle_timeout_ms: Longest timeout; 0: no timeout is set here, only the server's own applies.
            clients: Number of clients that hold connections.
        """
        self.actions = actions
        self.traffic = traffic
        self.max_idle_timeout_ms = max_idle_timeout_ms
        self.clients = max(1, clients)
        self.idle_timeout_ms = max_idle_timeout_ms
        """The timeout that was set last."""
        self.table_pressure = 0.0
        """Lower bound of the timeout, as a fraction of the longest, however seldom clients send requests.

        It rises while reading causes the overload, as a full connection table then helps.
        """
        self.wasted_reading = 0.0
        """Recent fraction of the cores that reads requests which are rejected."""

    def update(self, read_delay_ratio: float, reading_fraction: float) -> None:
        """Set the timeout; called once per tick.

        Args:
            read_delay_ratio: Time that requests wait unread over the latency objective.
            reading_fraction: Fraction of the cores that reads requests.
        """
        self._update_table_pressure(read_delay_ratio, reading_fraction)
        timeout_ms = self._target_timeout_ms()
        if not self.max_idle_timeout_ms:
            return
        if not UNCHANGED_ABOVE < timeout_ms / self.idle_timeout_ms < UNCHANGED_BELOW:
            self.idle_timeout_ms = timeout_ms
            self.actions.set_idle_timeout(timeout_ms)

    def _update_table_pressure(self, read_delay_ratio: float, reading_fraction: float) -> None:
        """Raise the table pressure while requests are read too late or mostly to be rejected."""
        wasted_reading = reading_fraction * self.traffic.rejections / max(1.0, self.traffic.arrivals)
        self.wasted_reading += WASTED_READING_WEIGHT * (wasted_reading - self.wasted_reading)
        self.table_pressure = max(
            PRESSURE_DECAY * self.table_pressure,
            READ_DELAY_SLOPE * read_delay_ratio - READ_DELAY_OFFSET,
            WASTED_READING_SLOPE * self.wasted_reading - WASTED_READING_OFFSET,
        )

    def _target_timeout_ms(self) -> float:
        """Return the timeout by the square of the mean number of requests per client in `CONNECT_COST_S`."""
        usage = (CONNECT_COST_S * self.traffic.arrival_rate / self.clients) ** 2
        return max(MIN_IDLE_TIMEOUT_MS, self.max_idle_timeout_ms * min(1.0, max(self.table_pressure, usage)))
