"""Sends commands to the worker pool, and handles those that a broken link may have lost."""

import structlog

from vetchford.protocol import worker_pool_lines
from vetchford.runtime.metrics import Metrics
from vetchford.server.request_table import RequestEntry, RequestTable
from vetchford.server.worker_pool import WorkerPoolClient
from vetchford.server.worker_pool_command import (
    CommandKind,
    UnconfirmedCommand,
    WorkerPoolCommand,
)

log = structlog.get_logger()

MAX_CLIENT_BACKLOG = 64  # entries in the client's mailbox; far more than the commands of one tick
MAX_LOGGED_COMMANDS = 16  # in the line about the unconfirmed commands of a link


class WorkerPoolCommands:
    """Sends commands and polls on the current link. Used only on the admission actor's thread.

    The worker pool answers a poll after it has read all that was sent before it on the same link, so an
    answered poll proves that the commands before it arrived. What was written behind the last answered poll
    of a broken link may have arrived or not, and the protocol has no question that tells. On the next link
    such a command is sent again only if it is repeatable; one that was not written is sent anyway.
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
        """Start the run of a request; `idempotent`: the request may run twice.

        A second copy starts a second run if the first run has ended. A start that is not repeatable is
        followed by a poll, so that it is confirmed within about 1 ms.
        """
        parts = worker_pool_lines.spawn(entry.request_id, entry.method, entry.content)
        self._send(entry, WorkerPoolCommand(CommandKind.START_RUN, parts, repeatable=idempotent))

    def supply_reply(self, entry: RequestEntry, reply: bytes) -> None:
        """Send a blocked run the reply to its dependency call.

        A second copy would be taken for the reply to the run's next call.
        """
        parts = worker_pool_lines.supply(entry.request_id, reply)
        self._send(entry, WorkerPoolCommand(CommandKind.SUPPLY_REPLY, parts, repeatable=False))

    def skip_call(self, entry: RequestEntry) -> None:
        """Let a blocked run continue without its dependency call.

        The command names the notice of the call, so a second copy skips no other call.
        """
        parts = worker_pool_lines.skip(entry.request_id, entry.blocked_notice)
        self._send(entry, WorkerPoolCommand(CommandKind.SKIP_CALL, parts, repeatable=True))

    def _send(self, entry: RequestEntry, command: WorkerPoolCommand) -> None:
        """Send a command for a request, now or once a link is ready."""
        entry.command = command
        if not self.ready:
            return
        command.link = self.link
        command.poll = self.polls_sent
        parts = command.parts
        if command.kind == CommandKind.START_RUN and not command.repeatable:
            parts = parts + self._next_poll()
        self.client.run_or_post(self.client.send, self.link, parts, command)

    def poll(self) -> None:
        """Request the gauges, unless the client has a backlog, so that no polls pile up for a paused pool."""
        if self.client.mailbox.qsize() > MAX_CLIENT_BACKLOG:
            return
        self.client.run_or_post(self.client.send, self.link, self._next_poll())

    def _next_poll(self) -> list[bytes]:
        self.polls_sent += 1
        return worker_pool_lines.poll(f"{self.link}-{self.polls_sent}")

    def poll_number(self, reference: str) -> int | None:
        """Return the number of the poll that an answer refers to; None if it was sent on another link."""
        link, _, number = reference.partition("-")
        return int(number) if link == str(self.link) and number.isdigit() else None

    def poll_answered(self, number: int) -> list[UnconfirmedCommand]:
        """Confirm all commands sent before poll `number` on the current link.

        The first answer on a link comes after the replayed notices. It makes the link ready, and the commands
        that may have been lost with the last link are handled; those that are not sent again are returned.
        """
        unconfirmed = []
        if not self.ready:
            self.ready = True
            unconfirmed = self._handle_commands_of_lost_links()
        self.confirmed_link = self.link
        self.confirmed_poll = number
        return unconfirmed

    def _handle_commands_of_lost_links(self) -> list[UnconfirmedCommand]:
        """Send the unwritten and the repeatable unconfirmed commands; return the other unconfirmed ones.

        All commands are cleared or sent, as the confirmed poll is known for the last link only.
        """
        unconfirmed = []
        sent_again = []
        not_sent_again = []
        for index, entry in enumerate(self.requests.entries):
            command = entry.command if entry is not None else None
            if entry is None or command is None:
                continue
            if self._is_confirmed(command):
                entry.command = None
            elif not command.written:
                self._send(entry, command)
            elif command.repeatable:
                sent_again.append(_description(entry, command))
                self._send(entry, command)
            else:
                not_sent_again.append(_description(entry, command))
                unconfirmed.append(UnconfirmedCommand(index, command.kind))
                entry.command = None
        if sent_again or not_sent_again:
            self._report_unconfirmed(sent_again, not_sent_again)
        return unconfirmed

    def _is_confirmed(self, command: WorkerPoolCommand) -> bool:
        return command.link == self.confirmed_link and command.poll < self.confirmed_poll

    def _report_unconfirmed(self, sent_again: list[str], not_sent_again: list[str]) -> None:
        self.metrics.increment("commands_sent_again", len(sent_again))
        self.metrics.increment("commands_unconfirmed", len(not_sent_again))
        log.warning(
            "pool_commands_unconfirmed",
            link=self.link,
            confirmed=f"{self.confirmed_link}-{self.confirmed_poll}",
            sent_again=len(sent_again),
            not_sent_again=len(not_sent_again),
            tasks=",".join((not_sent_again + sent_again)[:MAX_LOGGED_COMMANDS]),
        )


def _description(entry: RequestEntry, command: WorkerPoolCommand) -> str:
    """Return a command for the log: kind, request, and the link and the poll that it was sent behind."""
    return f"{command.kind.name.lower()}:{entry.request_id}@{command.link}-{command.poll}"
