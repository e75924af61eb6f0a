"""What the decision module acts through; each protocol put before it brings an implementation."""

from typing import Protocol


class AdmissionActions(Protocol):
    """Acts on tasks by their small index `q`; times and durations are milliseconds with fractions."""

    def start(self, q: int) -> None:
        """Run a held task."""

    def stop(self, q: int) -> None:
        """Stop running work; not an answer. Only where the start-up settings say how work is stopped."""

    def reject(self, q: int, terminal: bool, pause: float) -> None:
        """Final answer: turned away, never run. `pause` > 0 asks the caller to stay away that long."""

    def fail(self, q: int) -> None:
        """Final answer: an error, with no promise about effects."""

    def share(self, q: int) -> None:
        """Answer a held task with the result of the one it repeats."""

    def call(self, q: int, cut_at: float) -> None:
        """Make the call a task waits for, to be abandoned at the clock time `cut_at`."""

    def skip(self, q: int) -> None:
        """Let a task that waits for a call go on without it."""

    def remember(self, q: int, keep_for: float) -> None:
        """Keep the task's fingerprint, so that a repeat is known as one."""

    def forget(self, q: int) -> None:
        """Drop the task's fingerprint."""

    def release(self, q: int) -> None:
        """The index is not referred to again and may be handed out anew."""

    def set_readiness(self, good: bool) -> None:
        """What health checks are told from now on, answered from store."""

    def publish_load(self, value: float) -> None:
        """The free value sent back with each answer from now on."""

    def set_idle_timeout(self, keep_for: float) -> None:
        """Close connections that were silent for this long."""

    def schedule_tick(self, delay: float) -> None:
        """Ask for one `on_tick` after this long; there is no way to take it back."""
