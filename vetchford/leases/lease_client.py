"""The leases that one process requests or holds. No I/O; times in ms by the clock of this process.

The protocol and its assumption on clocks are described in the docstring of the package.
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
    MAX_UNANSWERED_REQUESTS,
    QUEUE_POLL_INTERVAL_MS,
    RENEWAL_INTERVAL_MS,
    UNANSWERED_WINDOW_MS,
)

NO_TOKEN = 0
NO_SLOT = -1


@dataclass(slots=True)
class LeaseRequest:
    """A lease that this process requests or holds."""

    number: int  # increases with each request of an incarnation
    slot: int = NO_SLOT
    fencing_token: int = NO_TOKEN
    expires_at_ms: float = 0.0  # counted from when the request was sent
    server: str = ""  # that requests are sent to; empty: any
    term: int = 0
    next_send_at_ms: float = 0.0
    sent_at_ms: dict[int, float] = field(default_factory=dict)  # of unanswered messages, by sequence

    def is_granted(self) -> bool:
        """Return whether a lease was granted and its expiry has not been detected yet."""
        return self.fencing_token != NO_TOKEN

    def clear_lease(self) -> None:
        """Clear the granted lease; the request for one remains."""
        self.fencing_token = NO_TOKEN
        self.slot = NO_SLOT

    def unanswered_count(self, now_ms: float) -> int:
        """Return the number of messages of the last `UNANSWERED_WINDOW_MS` without an answer."""
        return sum(now_ms - sent_at_ms < UNANSWERED_WINDOW_MS for sent_at_ms in self.sent_at_ms.values())

    def drop_old_requests(self, now_ms: float) -> None:
        """Remove messages that are so old that a lease granted for them has expired."""
        self.sent_at_ms = {
            sequence: sent_at_ms
            for sequence, sent_at_ms in self.sent_at_ms.items()
            if now_ms - sent_at_ms <= LEASE_MS
        }

    def drop_requests_until(self, answered_ms: float) -> None:
        """Remove messages sent at `answered_ms` or before; later ones can still extend the lease."""
        self.sent_at_ms = {
            sequence: sent_at_ms
            for sequence, sent_at_ms in self.sent_at_ms.items()
            if sent_at_ms > answered_ms
        }


class LeaseClient:
    """Acquires, renews and releases the leases of one process.

    Not thread-safe: only for the thread of the actor that owns it.
    """

    def __init__(
        self, actions: LeaseActions, name: str, servers: Sequence[str], zone: str, incarnation: int
    ) -> None:
        """Start without any lease request.

        Args:
            actions: Sends messages and logs events.
            name: Name of this process.
            servers: Names of the lease servers; at least one.
            zone: Zone of this process; the leader spreads leases evenly over zones.
            incarnation: Incarnation of this process; higher at each start.
        """
        self.actions = actions
        self.name = name
        self.servers = sorted(servers)
        self.zone = zone
        self.incarnation = incarnation
        self.requests: dict[str, LeaseRequest] = {}  # by lease name; removed by `release`
        self.sequence = 0
        self.server_choice_count = 0

    def acquire(self, now_ms: float, lease_name: str) -> None:
        """Request a lease until `release`; do nothing if it is requested already."""
        if lease_name not in self.requests:
            self.sequence += 1
            self.requests[lease_name] = LeaseRequest(self.sequence)
            self._send_request(now_ms, lease_name, self.requests[lease_name])

    def fencing_token(self, now_ms: float, lease_name: str) -> int:
        """Return the token of the lease held now, or 0; check it before each use of the lease."""
        request = self.requests.get(lease_name)
        if request is None or now_ms >= request.expires_at_ms:
            return NO_TOKEN
        return request.fencing_token

    def slot(self, lease_name: str) -> int:
        """Return the slot that is held, below the capacity of the lease name; -1 if none is held."""
        return self.requests[lease_name].slot if lease_name in self.requests else NO_SLOT

    def release(self, lease_name: str) -> None:
        """Release a lease, or stop waiting for one."""
        request = self.requests.pop(lease_name, None)
        if request is None:
            return
        if request.is_granted():
            self.actions.log_event("lease_released", turn=lease_name, fence=request.fencing_token)
        if request.server:
            notice = self._make_release_notice(lease_name, request.fencing_token, request.number)
            self.actions.send_lease_message(request.server, notice)

    def begin_incarnation(self, now_ms: float, incarnation: int) -> None:
        """Request all leases again under a new incarnation, and discard those held under the old one."""
        self.incarnation = incarnation
        for lease_name in list(self.requests):
            del self.requests[lease_name]
            self.acquire(now_ms, lease_name)

    def tick(self, now_ms: float) -> None:
        """Handle timers; call this several times a second."""
        for lease_name, request in self.requests.items():
            if request.is_granted() and now_ms >= request.expires_at_ms:
                self.actions.log_event("lease_lost", turn=lease_name, fence=request.fencing_token)
                request.clear_lease()
            request.drop_old_requests(now_ms)
            if now_ms >= request.next_send_at_ms:
                self._send_request(now_ms, lease_name, request)

    def receive(self, now_ms: float, sender: str, message: ClientMessage) -> None:
        """Handle an answer from a lease server."""
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
        """Store the lease, counted from when its request was sent; release a lease that is not wanted."""
        if request is None:  # released: the answer was delayed, or the release notice was lost
            number = granted.request_id.request_number
            notice = self._make_release_notice(granted.lease_name, granted.fencing_token, number)
            self.actions.send_lease_message(sender, notice)
            return
        sent_at_ms = request.sent_at_ms.get(granted.sequence)
        if sent_at_ms is None or granted.request_id != RequestId(self.incarnation, request.number):
            return
        if granted.fencing_token < request.fencing_token:
            return
        if not request.is_granted():
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
        """Keep polling the sender, which is the leader."""
        if request is None:
            notice = self._make_release_notice(position.lease_name, NO_TOKEN, self.sequence)
            self.actions.send_lease_message(sender, notice)
        elif position.sequence in request.sent_at_ms and not request.is_granted():
            request.server = sender
            request.term = position.term
            # A later grant echoes the sequence of this message, so it stays in `sent_at_ms`.
            request.next_send_at_ms = max(request.next_send_at_ms, now_ms + QUEUE_POLL_INTERVAL_MS)

    def on_leader_referral(
        self, now_ms: float, sender: str, referral: LeaderReferral, request: LeaseRequest | None
    ) -> None:
        """Send requests to the leader that the sender names, or to any server if it knows none."""
        if request is None or referral.sequence not in request.sent_at_ms:
            return
        del request.sent_at_ms[referral.sequence]
        if not referral.leader or referral.term < request.term:
            request.server = ""
            return
        request.server = referral.leader
        request.term = referral.term
        if sender != referral.leader or request.is_granted():
            request.next_send_at_ms = now_ms

    def on_lease_revoked(self, now_ms: float, revoked: LeaseRevoked, request: LeaseRequest | None) -> None:
        """Request another lease in place of a revoked one."""
        if request is None or not request.is_granted() or request.fencing_token != revoked.fencing_token:
            return
        self.actions.log_event("lease_lost", turn=revoked.lease_name, fence=request.fencing_token)
        request.clear_lease()
        request.expires_at_ms = 0.0
        request.next_send_at_ms = now_ms

    def _send_request(self, now_ms: float, lease_name: str, request: LeaseRequest) -> None:
        """Request or renew a lease; switch to another server if too many have no answer."""
        if not request.server:  # any server will do: those that do not lead refer to the leader
            request.server = self._choose_server()
        unanswered_count = request.unanswered_count(now_ms)
        self.sequence += 1
        request.sent_at_ms[self.sequence] = now_ms
        request.next_send_at_ms = now_ms + RENEWAL_INTERVAL_MS
        self.actions.send_lease_message(request.server, self._make_request(lease_name, request))
        if unanswered_count >= MAX_UNANSWERED_REQUESTS:
            request.server = ""
            request.sent_at_ms = {self.sequence: now_ms}

    def _choose_server(self) -> str:
        """Return the next server in rotation; the first one depends on the name of the client."""
        self.server_choice_count += 1
        start = zlib.crc32(self.name.encode()) % len(self.servers)
        return self.servers[(start + self.server_choice_count) % len(self.servers)]

    def _make_request(self, lease_name: str, request: LeaseRequest) -> AcquireRequest | RenewRequest:
        if not request.is_granted():
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

    def _make_release_notice(self, lease_name: str, fencing_token: int, request_number: int) -> ReleaseNotice:
        return ReleaseNotice(
            lease_name=lease_name,
            fencing_token=fencing_token,
            incarnation=self.incarnation,
            request_number=request_number,
        )
