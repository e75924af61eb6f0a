"""The gauges that the worker pool reports with each answered poll."""

from vetchford.protocol.platform_settings import CORE_USE_GAUGE, ON_CORES_GAUGE


class WorkerPoolGauges:
    """The last values. Used by the thread of the admission actor alone."""

    def __init__(self, positions: dict[str, int]) -> None:
        """Read values at `positions`, by the gauge's name; none are known yet."""
        self.positions = positions
        self.values: list[float] = []
        self.executing_then = 0  # runs that the server counted as executing when the values were read

    def update(self, values: list[float], executing: int) -> None:
        """Take new values; `executing` runs are counted now."""
        self.values = values
        self.executing_then = executing

    def core_use(self) -> float | None:
        """Return the share of the cores in use; None where it is not reported."""
        return self._value(CORE_USE_GAUGE)

    def on_cores(self, executing: int) -> float | None:
        """Return what is on the cores now that `executing` runs are counted; None where it is not reported.

        A run that ended since the poll would otherwise be taken for reading, and its core left idle.
        """
        reported = self._value(ON_CORES_GAUGE)
        return None if reported is None else reported + (executing - self.executing_then)

    def _value(self, name: str) -> float | None:
        position = self.positions.get(name, len(self.values))
        return self.values[position] if position < len(self.values) else None
