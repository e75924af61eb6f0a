"""The leases that one process wants or holds. No I/O; times in ms by the clock of this process.

The protocol and what it assumes of clocks are in the docstring of the package.
"""

import zlib
from collections.abc import Sequence
from dataclasses import dataclass, field

from vetchford.leases.actions import LeaseActions
from vetchford.leases.messages import (
    AcquireRequest,
    ClientMessage,
    LeaderReferral,
    LeaseGranted,
    LeaseRevoked,
    QueuePosition,
    ReleaseNotice,
    RenewRequest,
    RequestId,
)
from vetchford.leases.timing import (
    LEASE_MS,
    MAX_UNANSWERED,
    QUEUE_POLL_INTERVAL_MS,
    RENEWAL_INTERVAL_MS,
    UNANSWERED_WINDOW_MS,
)

NO_TOKEN = 0
NO_SLOT = -1


@dataclass(slots=True)
class LeaseRequest:
    """A lease that this process wants or holds."""

    number: int  # grows from request to request of one incarnation
    slot: int = NO_SLOT
    fencing_token: int = NO_TOKEN
    expires_at_ms: float = 0.0  # counted from when we asked
    server: str = ""  # that we ask; empty: any
    term: int = 0
    next_send_at_ms: float = 0.0
    sent_at_ms: dict[int, float] = field(default_factory=dict)  # unanswered, by sequence; dropped with age

    def holds(self) -> bool:
        """Whether a lease was granted and has not been found expired."""
        return self.fencing_token != NO_TOKEN

    def forget_lease(self) -> None:
        """Goes back to wanting a lease."""
        self.fencing_token = NO_TOKEN
        self.slot = NO_SLOT

    def unanswered_count(self, now_ms: float) -> int:
        """How many requests of the last `UNANSWERED_WINDOW_MS` have no answer yet."""
        return sum(now_ms - sent_at_ms < UNANSWERED_WINDOW_MS for sent_at_ms in self.sent_at_ms.values())

    def drop_old_requests(self, now_ms: float) -> None:
        """Forgets requests whose answer could grant no lease any more."""
        self.sent_at_ms = {
            sequence: sent_at_ms
            for sequence, sent_at_ms in self.sent_at_ms.items()
            if now_ms - sent_at_ms <= LEASE_MS
        }

    def drop_requests_until(self, answered_ms: float) -> None:
        """Forgets requests sent at `answered_ms` or before; later ones extend the lease further."""
        self.sent_at_ms = {
            sequence: sent_at_ms
            for sequence, sent_at_ms in self.sent_at_ms.items()
            if sent_at_ms > answered_ms
        }


class LeaseClient:
    """Acquires, renews and releases the leases of one process. Not thread-safe: for one actor's thread."""

    def __init__(
        self, actions: LeaseActions, name: str, servers: Sequence[str], zone: str, incarnation: int
    ) -> None:
        """Wants no lease yet.

        Args:
            actions: What it acts through.
            name: Of this process.
            servers: The lease servers; one at least.
            zone: Of this process; leases go round the zones of their clients.
            incarnation: Of this process; higher at each start.
        """
        self.actions = actions
        self.name = name
        self.servers = sorted(servers)
        self.zone = zone
        self.incarnation = incarnation
        self.requests: dict[str, LeaseRequest] = {}  # by lease name; removed by `release`
        self.sequence = 0
        self.server_choices = 0

    def acquire(self, now_ms: float, lease_name: str) -> None:
        """Asks for a lease until `release`; does nothing where that was asked for already."""
        if lease_name not in self.requests:
            self.sequence += 1
            self.requests[lease_name] = LeaseRequest(self.sequence)
            self._send_request(now_ms, lease_name, self.requests[lease_name])

    def fencing_token(self, now_ms: float, lease_name: str) -> int:
        """The token under which an act may begin now; 0: no lease is held. To be asked before each act."""
        request = self.requests.get(lease_name)
        if request is None or now_ms >= request.expires_at_ms:
            return NO_TOKEN
        return request.fencing_token

    def slot(self, lease_name: str) -> int:
        """The slot below the capacity of the lease name; -1: none is held."""
        return self.requests[lease_name].slot if lease_name in self.requests else NO_SLOT

    def release(self, lease_name: str) -> None:
        """Gives a lease back, or stops waiting for one."""
        request = self.requests.pop(lease_name, None)
        if request is None:
            return
        if request.holds():
            self.actions.log_event("lease_released", turn=lease_name, fence=request.fencing_token)
        if request.server:
            notice = self._release_notice(lease_name, request.fencing_token, request.number)
            self.actions.send_lease_message(request.server, notice)

    def begin_incarnation(self, now_ms: float, incarnation: int) -> None:
        """Asks for all leases anew under another incarnation; those held under the old one are forgotten."""
        self.incarnation = incarnation
        for lease_name in list(self.requests):
            del self.requests[lease_name]
            self.acquire(now_ms, lease_name)

    def tick(self, now_ms: float) -> None:
        """Handles timers; to be called several times a second."""
        for lease_name, request in self.requests.items():
            if request.holds() and now_ms >= request.expires_at_ms:
                self.actions.log_event("lease_lost", turn=lease_name, fence=request.fencing_token)
                request.forget_lease()
            request.drop_old_requests(now_ms)
            if now_ms >= request.next_send_at_ms:
                self._send_request(now_ms, lease_name, request)

    def receive(self, now_ms: float, sender: str, message: ClientMessage) -> None:
        """Handles an answer of a lease server."""
        request = self.requests.get(message.lease_name)
        match message:
            case LeaseGranted():
                self.on_lease_granted(sender, message, request)
            case QueuePosition():
                self.on_queue_position(now_ms, sender, message, request)
            case LeaderReferral():
                self.on_leader_referral(now_ms, sender, message, request)
            case LeaseRevoked():
                self.on_lease_revoked(now_ms, message, request)

    def on_lease_granted(self, sender: str, granted: LeaseGranted, request: LeaseRequest | None) -> None:
        """Holds the lease from when it was asked for; gives it back where it is no longer wanted."""
        if request is None:  # released: the answer was late, or the notice was lost
            number = granted.request_id.request_number
            notice = self._release_notice(granted.lease_name, granted.fencing_token, number)
            self.actions.send_lease_message(sender, notice)
            return
        sent_at_ms = request.sent_at_ms.get(granted.sequence)
        if sent_at_ms is None or granted.request_id != RequestId(self.incarnation, request.number):
            return
        if granted.fencing_token < request.fencing_token:
            return
        if not request.holds():
            self.actions.log_event(
                "lease_acquired", turn=granted.lease_name, slot=granted.slot, fence=granted.fencing_token
            )
        request.slot = granted.slot
        request.fencing_token = granted.fencing_token
        request.term = granted.term
        request.server = sender
        request.expires_at_ms = max(request.expires_at_ms, sent_at_ms + LEASE_MS)
        request.drop_requests_until(sent_at_ms)

    def on_queue_position(
        self, now_ms: float, sender: str, position: QueuePosition, request: LeaseRequest | None
    ) -> None:
        """Goes on asking this server, which leads."""
        if request is None:
            notice = self._release_notice(position.lease_name, NO_TOKEN, self.sequence)
            self.actions.send_lease_message(sender, notice)
        elif position.sequence in request.sent_at_ms and not request.holds():
            request.server = sender
            request.term = position.term
            # A grant echoes the sequence of the request in the queue, so that stays in `sent_at_ms`.
            request.next_send_at_ms = max(request.next_send_at_ms, now_ms + QUEUE_POLL_INTERVAL_MS)

    def on_leader_referral(
        self, now_ms: float, sender: str, referral: LeaderReferral, request: LeaseRequest | None
    ) -> None:
        """Asks the server that is said to lead, or any where none is known."""
        if request is None or referral.sequence not in request.sent_at_ms:
            return
        del request.sent_at_ms[referral.sequence]
        if not referral.leader or referral.term < request.term:
            request.server = ""
            return
        request.server = referral.leader
        request.term = referral.term
        if sender != referral.leader or request.holds():
            request.next_send_at_ms = now_ms

    def on_lease_revoked(self, now_ms: float, revoked: LeaseRevoked, request: LeaseRequest | None) -> None:
        """Asks for another lease in place of the one that the leader no longer knows."""
        if request is None or not request.holds() or request.fencing_token != revoked.fencing_token:
            return
        self.actions.log_event("lease_lost", turn=revoked.lease_name, fence=request.fencing_token)
        request.forget_lease()
        request.expires_at_ms = 0.0
        request.next_send_at_ms = now_ms

    def _send_request(self, now_ms: float, lease_name: str, request: LeaseRequest) -> None:
        """Asks for a lease or its renewal; after `MAX_UNANSWERED` in vain the next goes to another server."""
        if not request.server:  # the leader answers, the others name the leader
            request.server = self._choose_server()
        unanswered_count = request.unanswered_count(now_ms)
        self.sequence += 1
        request.sent_at_ms[self.sequence] = now_ms
        request.next_send_at_ms = now_ms + RENEWAL_INTERVAL_MS
        self.actions.send_lease_message(request.server, self._message(lease_name, request))
        if unanswered_count >= MAX_UNANSWERED:
            request.server = ""
            request.sent_at_ms = {self.sequence: now_ms}

    def _choose_server(self) -> str:
        """The next server in turn; clients begin with different ones, by their name."""
        self.server_choices += 1
        start = zlib.crc32(self.name.encode()) % len(self.servers)
        return self.servers[(start + self.server_choices) % len(self.servers)]

    def _message(self, lease_name: str, request: LeaseRequest) -> AcquireRequest | RenewRequest:
        if not request.holds():
            return AcquireRequest(
                lease_name=lease_name,
                incarnation=self.incarnation,
                request_number=request.number,
                zone=self.zone,
                sequence=self.sequence,
            )
        return RenewRequest(
            lease_name=lease_name,
            incarnation=self.incarnation,
            request_number=request.number,
            zone=self.zone,
            sequence=self.sequence,
            slot=request.slot,
            fencing_token=request.fencing_token,
            term=request.term,
        )

    def _release_notice(self, lease_name: str, fencing_token: int, request_number: int) -> ReleaseNotice:
        return ReleaseNotice(
            lease_name=lease_name,
            fencing_token=fencing_token,
            incarnation=self.incarnation,
            request_number=request_number,
        )
