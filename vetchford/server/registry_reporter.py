"""Reports the server's readiness to the registry, whose list of servers the clients choose from."""

import socket
import time

from vetchford.protocol import heartbeat
from vetchford.runtime.actor import Actor
from vetchford.runtime.metrics import Metrics

# The registry drops a server 3 s after its last report, so several reports in a row may be lost.
REPORT_INTERVAL_S = 0.25


class RegistryReporter(Actor):
    """Sends a heartbeat every REPORT_INTERVAL_S and upon each change; all methods run on its own thread."""

    def __init__(self, address: tuple[str, int], server_name: str, metrics: Metrics) -> None:
        """Create the reporter of the server `server_name` to the registry at `address` (UDP)."""
        super().__init__("registry-reporter", metrics)
        self.address = address
        self.server_name = server_name
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.ready: bool | None = None  # None: not known yet, so nothing is reported
        self.next_report_at_s = 0.0  # monotonic

    def change_address(self, address: tuple[str, int]) -> None:
        """Report to `address` from now on, starting immediately; an entry of the actor."""
        self.address = address
        self.next_report_at_s = 0.0

    def set_readiness(self, ready: bool) -> None:
        """Report `ready` from now on, starting immediately; an entry of the actor."""
        self.ready = ready
        self.next_report_at_s = 0.0

    def next_timeout(self) -> float | None:
        """Return the seconds until the next report is due; None while there is nothing to report."""
        if self.ready is None:
            return None
        return max(0.0, self.next_report_at_s - time.monotonic())

    def on_idle(self) -> None:
        """Send a report if it is due."""
        now_s = time.monotonic()
        if self.ready is None or now_s < self.next_report_at_s:
            return
        self.next_report_at_s = now_s + REPORT_INTERVAL_S
        try:
            self.sock.sendto(heartbeat.encode_report(self.server_name, self.ready), self.address)
        except OSError as error:  # the registry may be down; the next report repeats the readiness
            self.metrics.log_sampled("members_unreachable", problem=str(error))
