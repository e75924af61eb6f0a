"""Commands to the worker pool, sent again where a link breaks before they are known to have arrived."""

from vetchford.protocol import worker_pool_lines
from vetchford.runtime.metrics import Metrics
from vetchford.server.request_table import RequestEntry, RequestTable
from vetchford.server.worker_pool import WorkerPoolClient

MAX_CLIENT_BACKLOG = 64  # entries in the mailbox of the client: far more than the commands of one tick


class WorkerPoolCommands:
    """Sends commands and polls on the current link. Used by the thread of the admission actor alone.

    The worker pool answers a poll after it has read all that was sent before it on the same link, so an
    answered poll proves that the commands before it arrived.
    """

    def __init__(self, client: WorkerPoolClient, requests: RequestTable, metrics: Metrics) -> None:
        """Send nothing until a link is bound."""
        self.client = client
        self.requests = requests
        self.metrics = metrics
        self.link = 0  # number of the current link; 0: none yet
        self.ready = False  # whether the notices that the link replays have been read
        self.polls_sent = 0
        self.confirmed_link = 0  # link of the last poll that was answered
        self.confirmed_poll = 0  # and its number

    def link_bound(self, link: int) -> None:
        """Use a new link, once its replay has been read."""
        self.link = link
        self.ready = False

    def link_lost(self) -> None:
        """Keep commands until another link is ready."""
        self.ready = False

    def start_run(self, entry: RequestEntry, idempotent: bool) -> None:
        """Start the run of a request; `idempotent`: it may run twice."""
        self.send(
            entry,
            worker_pool_lines.spawn(entry.request_id, entry.method, entry.content),
            confirm=not idempotent,
        )

    def supply_reply(self, entry: RequestEntry, reply: bytes) -> None:
        """Give a blocked run the reply to its dependency call."""
        self.send(entry, worker_pool_lines.supply(entry.request_id, reply))

    def skip_call(self, entry: RequestEntry) -> None:
        """Let a blocked run continue without its dependency call."""
        self.send(entry, worker_pool_lines.skip(entry.request_id, entry.blocked_notice))

    def send(self, entry: RequestEntry, parts: list[bytes], confirm: bool = False) -> None:
        """Send a command of a request, now or once a link is ready; `confirm`: have it confirmed at once."""
        entry.command = parts
        entry.command_link = 0
        entry.command_poll = 0
        if not self.ready:
            return
        entry.command_link = self.link
        entry.command_poll = self.polls_sent
        if confirm:
            # The poll is answered in well under a millisecond. A command that is not confirmed when the link
            # breaks is sent again, and might start a run anew that ends just then.
            self.polls_sent += 1
            parts = parts + worker_pool_lines.poll(f"{self.link}-{self.polls_sent}")
        self.client.run_or_post(self.client.send, self.link, parts)

    def poll(self) -> None:
        """Ask for the gauges, unless the client is far behind: a paused worker pool gets no heap of polls."""
        if self.client.mailbox.qsize() > MAX_CLIENT_BACKLOG:
            return
        self.polls_sent += 1
        parts = worker_pool_lines.poll(f"{self.link}-{self.polls_sent}")
        self.client.run_or_post(self.client.send, self.link, parts)

    def poll_number(self, reference: str) -> int | None:
        """Return the number of the poll that an answer refers to; None where it is not of this link."""
        link, _, number = reference.partition("-")
        return int(number) if link == str(self.link) and number.isdigit() else None

    def poll_answered(self, number: int) -> None:
        """Take all commands before poll `number` of this link as arrived."""
        if not self.ready:  # the first answer on a link comes after the replay
            self.ready = True
            self._send_unconfirmed()
        self.confirmed_link = self.link
        self.confirmed_poll = number

    def _send_unconfirmed(self) -> None:
        """Send again what may not have arrived on the last link, and is answered by no notice."""
        for entry in self.requests.entries:
            if entry is None or entry.command is None:
                continue
            if self._is_confirmed(entry):
                # It arrived, and a reply sent twice would be taken for that of a later call. The link after
                # the next knows nothing of these polls, so this is settled now.
                entry.command = None
                continue
            self.metrics.increment("commands_sent_again")
            self.send(entry, entry.command)

    def _is_confirmed(self, entry: RequestEntry) -> bool:
        return entry.command_link == self.confirmed_link and entry.command_poll < self.confirmed_poll
