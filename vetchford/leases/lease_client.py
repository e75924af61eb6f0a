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
from vetchford.leases.timing import LEASE_MS, QUEUE_POLL_INTERVAL_MS, RENEWAL_INTERVAL_MS

UNANSWERED_WINDOW_MS = RENEWAL_INTERVAL_MS * 3  # in which unanswered requests count against a server
MAX_UNANSWERED = 2  # requests of that window; then another server is asked


@dataclass(slots=True)
class LeaseRequest:
    """A lease that this process wants or holds."""

    number: int  # grows from request to request of one incarnation
    slot: int = -1  # -1: none is held
    fencing_token: int = 0  # 0: none is held
    expires_at: float = 0.0  # counted from when we asked
    server: str = ""  # that we ask; empty: any
    term: int = 0
    next_send_at: float = 0.0
    sent_at: dict[int, float] = field(default_factory=dict)  # unanswered, by sequence; dropped with age

    def holds(self) -> bool:
        """Whether a lease was granted and has not been found expired."""
        return self.fencing_token != 0

    def forget_lease(self) -> None:
        """Goes back to wanting a lease."""
        self.fencing_token, self.slot = 0, -1


class LeaseClient:
    """Acquires, renews and releases the leases of one process."""

    def __init__(
        self, actions: LeaseActions, name: str, servers: Sequence[str], zone: str, incarnation: int
    ) -> None:
        """`servers`: the lease servers; `zone`: leases go round the zones of their clients."""
        self.actions, self.name, self.servers = actions, name, sorted(servers)
        self.zone, self.incarnation = zone, incarnation
        self.requests: dict[str, LeaseRequest] = {}  # by lease name; removed by `release`
        self.sequence = self.server_choices = 0

    def acquire(self, now: float, lease_name: str) -> None:
        """Asks for a lease until `release`; does nothing where that was asked for already."""
        if lease_name not in self.requests:
            self.sequence += 1
            self.requests[lease_name] = LeaseRequest(self.sequence)
            self._send_request(now, lease_name, self.requests[lease_name])

    def fencing_token(self, now: float, lease_name: str) -> int:
        """The token under which an act may begin now; 0: no lease is held. To be asked before each act."""
        request = self.requests.get(lease_name)
        return request.fencing_token if request is not None and now < request.expires_at else 0

    def slot(self, lease_name: str) -> int:
        """The slot below the capacity of the lease name; -1: none is held."""
        return self.requests[lease_name].slot if lease_name in self.requests else -1

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

    def begin_incarnation(self, now: float, incarnation: int) -> None:
        """Asks for all leases anew under another incarnation; those held under the old one are forgotten."""
        self.incarnation = incarnation
        for lease_name in list(self.requests):
            del self.requests[lease_name]
            self.acquire(now, lease_name)

    def tick(self, now: float) -> None:
        """Handles timers; to be called several times a second."""
        for lease_name, request in self.requests.items():
            if request.holds() and now >= request.expires_at:
                self.actions.log_event("lease_lost", turn=lease_name, fence=request.fencing_token)
                request.forget_lease()
            request.sent_at = {
                sequence: at for sequence, at in request.sent_at.items() if now - at <= LEASE_MS
            }
            if now >= request.next_send_at:
                self._send_request(now, lease_name, request)

    def receive(self, now: float, sender: str, message: ClientMessage) -> None:
        """Handles an answer of a lease server."""
        request = self.requests.get(message.lease_name)
        match message:
            case LeaseGranted():
                self.on_lease_granted(sender, message, request)
            case QueuePosition():
                self.on_queue_position(now, sender, message, request)
            case LeaderReferral():
                self.on_leader_referral(now, sender, message, request)
            case LeaseRevoked():
                self.on_lease_revoked(now, message, request)

    def on_lease_granted(self, sender: str, granted: LeaseGranted, request: LeaseRequest | None) -> None:
        """Holds the lease from when it was asked for; gives it back where it is no longer wanted."""
        if request is None:  # released: the answer was late, or the notice was lost
            number = granted.request_id.request_number
            notice = self._release_notice(granted.lease_name, granted.fencing_token, number)
            self.actions.send_lease_message(sender, notice)
            return
        sent_at = request.sent_at.get(granted.sequence)
        if sent_at is None or granted.request_id != RequestId(self.incarnation, request.number):
            return
        if granted.fencing_token < request.fencing_token:
            return
        if not request.holds():
            self.actions.log_event(
                "lease_acquired", turn=granted.lease_name, slot=granted.slot, fence=granted.fencing_token
            )
        request.slot, request.fencing_token = granted.slot, granted.fencing_token
        request.term, request.server = granted.term, sender
        request.expires_at = max(request.expires_at, sent_at + LEASE_MS)
        request.sent_at = {sequence: at for sequence, at in request.sent_at.items() if at > sent_at}

    def on_queue_position(
        self, now: float, sender: str, position: QueuePosition, request: LeaseRequest | None
    ) -> None:
        """Goes on asking this server, which leads."""
        if request is None:
            self.actions.send_lease_message(
                sender, self._release_notice(position.lease_name, 0, self.sequence)
            )
        elif position.sequence in request.sent_at and not request.holds():
            request.server, request.term = sender, position.term
            # The queued message is the one whose sequence comes back with the grant, so it stays in
            # `sent_at`.
            request.next_send_at = max(request.next_send_at, now + QUEUE_POLL_INTERVAL_MS)

    def on_leader_referral(
        self, now: float, sender: str, referral: LeaderReferral, request: LeaseRequest | None
    ) -> None:
        """Asks the server that is said to lead, or any where none is known."""
        if request is None or referral.sequence not in request.sent_at:
            return
        del request.sent_at[referral.sequence]
        if not referral.leader or referral.term < request.term:
            request.server = ""
            return
        request.server, request.term = referral.leader, referral.term
        if sender != referral.leader or request.holds():
            request.next_send_at = now

    def on_lease_revoked(self, now: float, revoked: LeaseRevoked, request: LeaseRequest | None) -> None:
        """Asks for another lease in place of the one that the leader no longer knows."""
        if request is None or not request.holds() or request.fencing_token != revoked.fencing_token:
            return
        self.actions.log_event("lease_lost", turn=revoked.lease_name, fence=request.fencing_token)
        request.forget_lease()
        request.expires_at, request.next_send_at = 0.0, now

    def _send_request(self, now: float, lease_name: str, request: LeaseRequest) -> None:
        if not request.server:  # whoever leads answers, the others name the leader
            request.server = self._choose_server()
        unanswered = sum(now - at < UNANSWERED_WINDOW_MS for at in request.sent_at.values())
        self.sequence += 1
        request.sent_at[self.sequence], request.next_send_at = now, now + RENEWAL_INTERVAL_MS
        self.actions.send_lease_message(request.server, self._message(lease_name, request))
        if unanswered >= MAX_UNANSWERED:
            request.server, request.sent_at = "", {self.sequence: now}

    def _choose_server(self) -> str:
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
