"""What clients are advised: how long to back off, the published load, how long connections stay open."""

import zlib

from vetchford.admission.load_advice_state import LoadAdviceState
from vetchford.admission.settings import LoadSignal


class LoadAdvice(LoadAdviceState):
    """Retry delays, the load value published with each answer, and the idle timeout of connections."""

    def __post_init__(self) -> None:
        self.clients, self.idle_timeout_ms = max(1, self.settings.clients), self.settings.idle_timeout_ms
        self.credit = 4.0 * self.settings.cores / self.clients  # at once: a core runs one, queues three

    def retry_after_ms(self, wanted: float) -> float:
        """The delay (ms) to ask of a client for a wanted one."""
        self.draws += 1  # spread over half its length, so that clients do not come back in step
        chance = zlib.crc32(b"%d:%d" % (self.settings.seed, self.draws)) / 2**32
        delay_ms = min(self.settings.max_retry_after_ms, wanted * self.retry_after_factor) * (
            0.5 + 0.5 * chance
        )
        self.mean_retry_after_ms += 0.05 * (delay_ms - self.mean_retry_after_ms)
        return delay_ms

    def update_load(self, read_delay_ratio: float, speed: float) -> None:
        share = max(read_delay_ratio, self.rejections / max(1.0, self.arrivals))
        # A rejected share of 0.15 is left alone: it keeps the queue fed. Clients react late: seconds a swing.
        move = 1.0 - 0.015 * min(1.0, share) if share > 0.15 else 1.0075
        self.open_fraction = min(1.0, max(0.02, self.open_fraction * move))
        self.ticks = min(100, self.ticks + 1)
        self.arrival_rate += (self.arrivals - self.arrival_rate) / self.ticks  # looks back some five seconds
        self.arrivals, self.retries = self.arrivals * 0.95, self.retries * 0.95
        self.rejections *= 0.95
        signal, wanted = self.settings.signal, self.open_fraction
        values = {LoadSignal.UTILIZATION: 1.0 - wanted, LoadSignal.CREDIT: self.credit * wanted}
        value = values.get(signal, wanted * speed)
        if signal is not LoadSignal.NONE and abs(value - self.published) > 0.02:
            self.published = value
            self.actions.publish_load(value)

    def update_idle_timeout(self, read_delay_ratio: float, reading: float) -> None:
        """Once a tick, after `update_load`. `reading`: fraction of the cores."""
        # A new connection costs some five seconds of an open one: idle ones of clients that come less often
        # just fill the table. A full one rejects newcomers unread, which helps while reads are too late or
        # six tenths of the cores read for nothing; it opens over ten seconds, lest the jam come back.
        self.wasted += 0.02 * (reading * self.rejections / max(1.0, self.arrivals) - self.wasted)
        self.table_pressure = max(
            0.995 * self.table_pressure, 2.0 * read_delay_ratio - 0.2, 6.0 * self.wasted - 3.6
        )
        wanted = max(self.table_pressure, (5.0 * self.arrival_rate / self.clients) ** 2)
        timeout_ms = max(10.0, self.settings.idle_timeout_ms * min(1.0, wanted))
        if self.settings.idle_timeout_ms and not 0.8 < timeout_ms / self.idle_timeout_ms < 1.25:
            self.idle_timeout_ms = timeout_ms
            self.actions.set_idle_timeout(timeout_ms)
