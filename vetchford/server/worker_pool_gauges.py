"""The gauges that the worker pool reports with each answered poll."""

from vetchford.protocol.platform_settings import CORE_USE_GAUGE, ON_CORES_GAUGE


class WorkerPoolGauges:
    """The last reported values. Used only on the admission actor's thread."""

    def __init__(self, positions: dict[str, int]) -> None:
        """Create gauges without values; `positions` gives the position of each value by the gauge's name."""
        self.positions = positions
        self.values: list[float] = []
        self.executing_at_update = 0  # runs that the server counted as executing when it received the values

    def update(self, values: list[float], executing: int) -> None:
        """Store new values; `executing` is the number of runs that the server counts as executing now."""
        self.values = values
        self.executing_at_update = executing

    def core_use(self) -> float | None:
        """Return the share of the cores in use, or None if the worker pool does not report it."""
        return self._value(CORE_USE_GAUGE)

    def on_cores(self, executing: int) -> float | None:
        """Return the current number of cores in demand, or None if the worker pool does not report it.

        The reported value is corrected by the change of the server's own count of runs, `executing`, since
        the update. Otherwise a run that has ended since would be taken for the work of reading requests, and
        its core would be left idle.
        """
        reported = self._value(ON_CORES_GAUGE)
        return None if reported is None else reported + (executing - self.executing_at_update)

    def _value(self, name: str) -> float | None:
        position = self.positions.get(name, len(self.values))
        return self.values[position] if position < len(self.values) else None
