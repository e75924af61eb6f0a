"""What one server tells of itself: figures of the last seconds. Lives on the module's thread; times in ms."""

import math
from collections import deque
from collections.abc import Iterable, Mapping

WINDOW = 2000.0  # ms looked back: a few calls of each server also where the service is slow
MOST_CALLS = 512  # ends of calls kept; the oldest go first
KNOWN = 8  # calls from which the usual time is known
STUCK = 12.0  # times the usual that the oldest call is out, with no end in a window, until all count as lost
LEAST_STUCK = 1000.0  # ms of it at least: a pause of a machine is shorter


class LoadSampler:
    """`call_ended` for each end of a call, `figures` a few times a second."""

    def __init__(self) -> None:
        self.ends: deque[tuple[float, float, bool]] = deque(maxlen=MOST_CALLS)  # when, how long, whether lost
        self.cut: deque[tuple[float, float]] = deque(
            maxlen=MOST_CALLS
        )  # of those cut: they took at least so long
        self.seen, self.well_at = 0, -math.inf  # calls answered; when the last one was
        self.counted: deque[tuple[float, int, int]] = deque(
            maxlen=64
        )  # when, read and turned away until then

    def call_ended(self, now: float, code: str, took: float) -> None:
        lost = code != "completed"
        self.seen += not lost
        self.well_at = self.well_at if lost else now
        self.ends.append((now, took, lost))
        if code == "overdue":
            self.cut.append((now, took))

    def figures(
        self,
        now: float,
        begun: Iterable[float],
        usual: float,
        counts: Mapping[str, int],
        used: float,
        memory: float,
    ) -> dict[str, float]:
        """`begun`: when the calls went out that are out now; `usual`: ms of a call by the long window.

        Without calls of late nothing is told of the service.
        """
        while self.ends and now - self.ends[0][0] > WINDOW:
            self.ends.popleft()
        while self.cut and now - self.cut[0][0] > WINDOW:
            self.cut.popleft()
        out: dict[str, float] = {"well": now - self.well_at} if self.seen else {}
        oldest = max((now - at for at in begun), default=0.0)
        known = self.seen >= KNOWN and usual > 0.0
        if known and oldest > max(LEAST_STUCK, STUCK * usual) and all(lost for _, _, lost in self.ends):
            out |= {"pace": oldest / usual, "lost": 1.0}
        elif self.ends:
            out["lost"] = sum(lost for _, _, lost in self.ends) / len(self.ends)
            # Without those that were cut only the quick ones would be counted.
            took = [took for _, took, lost in self.ends if not lost] + [took for _, took in self.cut]
            if known and took:
                out["pace"] = sum(took) / len(took) / usual
        read = counts.get("read", 0)
        away = sum(count for name, count in counts.items() if name.startswith("rejected_"))
        self.counted.append((now, read, away))
        while len(self.counted) > 1 and now - self.counted[0][0] > WINDOW:
            self.counted.popleft()
        passed = now - self.counted[0][0]
        if passed > 0.25 * WINDOW:
            came = read - self.counted[0][1]
            out["rate"] = came * 1000.0 / passed
            if came:
                out["full"] = min(1.0, (away - self.counted[0][2]) / came)
        if math.isfinite(memory) and memory > 0.0:
            out["memory"] = used / memory
        return out
