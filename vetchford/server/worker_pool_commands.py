"""Sends commands to the worker pool, and sends them again if a link breaks before they are confirmed."""

import structlog

from vetchford.protocol import worker_pool_lines
from vetchford.runtime.metrics import Metrics
from vetchford.server.request_table import RequestEntry, RequestTable
from vetchford.server.worker_pool import WorkerPoolClient

log = structlog.get_logger()

MAX_CLIENT_BACKLOG = 64  # entries in the client's mailbox; far more than the commands of one tick
MAX_LOGGED_COMMANDS = 16  # in the line about the unconfirmed commands of a link


class WorkerPoolCommands:
    """Sends commands and polls on the current link. Used only on the admission actor's thread.

    The worker pool answers a poll after it has read all that was sent before it on the same link, so an
    answered poll proves that the commands before it arrived.
    """

    def __init__(self, client: WorkerPoolClient, requests: RequestTable, metrics: Metrics) -> None:
        """Create the sender; commands are queued until a link is bound."""
        self.client = client
        self.requests = requests
        self.metrics = metrics
        self.link = 0  # number of the current link; 0: none yet
        self.ready = False  # whether all notices that are replayed on the current link have been read
        self.polls_sent = 0
        self.confirmed_link = 0  # link of the last answered poll
        self.confirmed_poll = 0  # number of the last answered poll

    def link_bound(self, link: int) -> None:
        """Use a new link, from the answer to its first poll on."""
        self.link = link
        self.ready = False

    def link_lost(self) -> None:
        """Queue commands until another link is ready."""
        self.ready = False

    def start_run(self, entry: RequestEntry, idempotent: bool) -> None:
        """Start the run of a request; `idempotent`: the request may run twice."""
        self.send(
            entry,
            worker_pool_lines.spawn(entry.request_id, entry.method, entry.content),
            confirm=not idempotent,
        )

    def supply_reply(self, entry: RequestEntry, reply: bytes) -> None:
        """Send a blocked run the reply to its dependency call."""
        self.send(entry, worker_pool_lines.supply(entry.request_id, reply))

    def skip_call(self, entry: RequestEntry) -> None:
        """Let a blocked run continue without its dependency call."""
        self.send(entry, worker_pool_lines.skip(entry.request_id, entry.blocked_notice))

    def send(self, entry: RequestEntry, parts: list[bytes], confirm: bool = False) -> None:
        """Send a command for a request, now or once a link is ready.

        `confirm`: send a poll behind the command, so that it is confirmed at once.
        """
        entry.command = parts
        entry.command_link = 0
        entry.command_poll = 0
        if not self.ready:
            return
        entry.command_link = self.link
        entry.command_poll = self.polls_sent
        if confirm:
            # An unconfirmed command is sent again if the link breaks, and could then start a second run of a
            # request whose run has just ended. The poll is answered in well under 1 ms.
            self.polls_sent += 1
            parts = parts + worker_pool_lines.poll(f"{self.link}-{self.polls_sent}")
        self.client.run_or_post(self.client.send, self.link, parts)

    def poll(self) -> None:
        """Request the gauges, unless the client has a backlog, so that no polls pile up for a paused pool."""
        if self.client.mailbox.qsize() > MAX_CLIENT_BACKLOG:
            return
        self.polls_sent += 1
        parts = worker_pool_lines.poll(f"{self.link}-{self.polls_sent}")
        self.client.run_or_post(self.client.send, self.link, parts)

    def poll_number(self, reference: str) -> int | None:
        """Return the number of the poll that an answer refers to; None if it was sent on another link."""
        link, _, number = reference.partition("-")
        return int(number) if link == str(self.link) and number.isdigit() else None

    def poll_answered(self, number: int) -> None:
        """Confirm all commands sent before poll `number` on the current link."""
        if not self.ready:  # the first answer on a link comes after the replayed notices
            self.ready = True
            self._send_unconfirmed()
        self.confirmed_link = self.link
        self.confirmed_poll = number

    def _send_unconfirmed(self) -> None:
        """Send again the commands that may not have arrived on the last link and that no notice confirms."""
        sent_again = []
        for entry in self.requests.entries:
            if entry is None or entry.command is None:
                continue
            if self._is_confirmed(entry):
                # The command arrived. Sent twice, a reply would be taken for the reply to a later call. The
                # command is cleared now, as the confirmed poll is known for the last link only.
                entry.command = None
                continue
            self.metrics.increment("commands_sent_again")
            sent_again.append(f"{entry.request_id}@{entry.command_link}-{entry.command_poll}")
            self.send(entry, entry.command)
        if sent_again:
            log.warning(
                "pool_commands_unconfirmed",
                link=self.link,
                confirmed=f"{self.confirmed_link}-{self.confirmed_poll}",
                sent_again=len(sent_again),
                tasks=",".join(sent_again[:MAX_LOGGED_COMMANDS]),
            )

    def _is_confirmed(self, entry: RequestEntry) -> bool:
        return entry.command_link == self.confirmed_link and entry.command_poll < self.confirmed_poll
