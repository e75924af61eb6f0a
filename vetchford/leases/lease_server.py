"""One lease server: it takes part in the election and grants all leases while it leads. No I/O; times in ms.

The protocol and its assumption on clocks are described in the docstring of the package.
"""

from collections.abc import Mapping, Sequence

from vetchford.leases.actions import LeaseActions
from vetchford.leases.leader_election import LeaderElection
from vetchford.leases.lease_pool import Lease, LeasePool, Waiter
from vetchford.leases.messages import (
    AcquireRequest,
    LeaderReferral,
    LeaseGranted,
    LeaseMessage,
    LeaseRevoked,
    QueuePosition,
    ReleaseNotice,
    RenewRequest,
    ServerMessage,
)
from vetchford.leases.timing import MAX_LEASE_MS, TOKENS_PER_TERM


class LeaseServer:
    """Grants the leases of all names while this server leads; refers clients to the leader otherwise.

    Not thread-safe: only for the thread of the actor that owns it.
    """

    def __init__(
        self,
        actions: LeaseActions,
        name: str,
        servers: Sequence[str],
        capacities: Mapping[str, int],
        seed: int,
        epoch: int,
        now_ms: float,
    ) -> None:
        """Start as a follower.

        Args:
            actions: Sends messages and logs events.
            name: Name of this server, one of `servers`.
            servers: Names of all lease servers.
            capacities: Maximum number of clients that hold a lease at a time, by lease name.
            seed: See `LeaderElection`.
            epoch: See `LeaderElection`.
            now_ms: Monotonic time of this server.
        """
        self.actions = actions
        self.name = name
        self.capacities = dict(capacities)
        self.election = LeaderElection(self, name, servers, seed, epoch, now_ms)
        self.grants_from_ms = 0.0  # leases of the previous leader have expired by then
        self.pools: dict[str, LeasePool] = {}  # by lease name; empty unless this server leads
        self.granted_in_term = 0

    def leads(self, now_ms: float) -> bool:
        """Return whether this server holds the leader lease now."""
        return self.election.leads(now_ms)

    def tick(self, now_ms: float) -> None:
        """Handle timers; call this several times a second."""
        self.election.tick(now_ms)
        if not self.leads(now_ms):
            return
        for lease_name, pool in self.pools.items():
            for lease in pool.pop_expired(now_ms):
                self.actions.log_event(
                    "lease_expired", turn=lease_name, holder=lease.holder, fence=lease.fencing_token
                )
            pool.drop_timed_out_waiters(now_ms)
            self._grant_waiting(now_ms, lease_name, pool)

    def receive(self, now_ms: float, sender: str, message: ServerMessage) -> None:
        """Handle a message from a client or a lease server."""
        match message:
            case AcquireRequest():
                self.on_acquire_request(now_ms, sender, message)
            case RenewRequest():
                self.on_renew_request(now_ms, sender, message)
            case ReleaseNotice():
                self.on_release_notice(now_ms, sender, message)
            case _:
                self.election.receive(now_ms, sender, message)

    def send_lease_message(self, to: str, message: LeaseMessage) -> None:
        """Send a message of the election."""
        self.actions.send_lease_message(to, message)

    def on_elected(self, now_ms: float, term: int) -> None:
        """Start the term with empty pools; see `ElectionActions`."""
        self.grants_from_ms = now_ms + MAX_LEASE_MS
        self.pools = {lease_name: LeasePool(capacity) for lease_name, capacity in self.capacities.items()}
        self.granted_in_term = 0
        self.actions.log_event("lease_leader_elected", term=term)

    def on_stepped_down(self, term: int, reason: str) -> None:
        """Discard all leases; see `ElectionActions`."""
        self.pools = {}
        self.actions.log_event("lease_leader_stepped_down", term=term, why=reason)

    def on_acquire_request(self, now_ms: float, sender: str, request: AcquireRequest) -> None:
        """Grant a lease, or answer with the position in the queue."""
        pool = self._pool_if_leader(now_ms, request.lease_name)
        if pool is None:
            self._refer_to_leader(sender, request)
            return
        lease = pool.lease_held_by(sender)
        if lease is not None and lease.request_id > request.request_id:
            return  # a delayed message of an earlier request
        if lease is not None and lease.request_id == request.request_id:  # the answer was lost
            self._extend_and_confirm(now_ms, request.lease_name, lease, request.sequence)
            return
        if lease is not None:  # released by the client; the notice is delayed or lost
            del pool.leases[lease.slot]
        waiter = self._update_waiter(now_ms, sender, request, pool)
        if waiter is None:
            return
        self._grant_waiting(now_ms, request.lease_name, pool)
        if waiter in pool.waiters:
            position = QueuePosition(
                lease_name=request.lease_name,
                term=self.election.term,
                queue_position=pool.waiters.index(waiter),
                sequence=request.sequence,
            )
            self.actions.send_lease_message(sender, position)

    def on_renew_request(self, now_ms: float, sender: str, request: RenewRequest) -> None:
        """Extend a lease; until `grants_from_ms` also accept leases that the previous leader granted."""
        pool = self._pool_if_leader(now_ms, request.lease_name)
        if pool is None or request.term != self.election.term:
            self._refer_renewal(now_ms, sender, request)
            return
        lease = pool.leases.get(request.slot)
        if lease is None and now_ms < self.grants_from_ms and 0 <= request.slot < pool.capacity:
            lease = _lease_from_renewal(now_ms, sender, request)
            pool.leases[lease.slot] = lease
        if lease is None or not _is_renewal_of(lease, sender, request):
            revoked = LeaseRevoked(lease_name=request.lease_name, fencing_token=request.fencing_token)
            self.actions.send_lease_message(sender, revoked)
            return
        self._extend_and_confirm(now_ms, request.lease_name, lease, request.sequence)

    def on_release_notice(self, now_ms: float, sender: str, notice: ReleaseNotice) -> None:
        """Remove a lease, or a waiter from the queue."""
        pool = self._pool_if_leader(now_ms, notice.lease_name)
        if pool is None:
            return  # not the leader, or an unknown name; the lease expires without the notice
        pool.release(sender, notice.fencing_token, notice.request_id)
        self._grant_waiting(now_ms, notice.lease_name, pool)

    def _pool_if_leader(self, now_ms: float, lease_name: str) -> LeasePool | None:
        return self.pools.get(lease_name) if self.leads(now_ms) else None

    def _update_waiter(
        self, now_ms: float, sender: str, request: AcquireRequest, pool: LeasePool
    ) -> Waiter | None:
        """Add or update the waiter of `sender`; None if the queue is full or the request is outdated."""
        waiter = pool.enqueue(now_ms, sender, request.request_id, request.zone)
        if waiter is None:
            self.actions.log_event("lease_queue_full", turn=request.lease_name)
            return None
        if (waiter.request_id, waiter.sequence) > (request.request_id, request.sequence):
            return None
        waiter.request_id = request.request_id
        waiter.sequence = request.sequence
        waiter.last_seen_ms = now_ms
        return waiter

    def _grant_waiting(self, now_ms: float, lease_name: str, pool: LeasePool) -> None:
        """Grant free slots to waiters, but none before the leases of the previous leader have expired."""
        if now_ms < self.grants_from_ms:
            return
        while pool.waiters and pool.has_free_slot():
            waiter = pool.pop_next_waiter()
            self.granted_in_term += 1
            fencing_token = self.election.term * TOKENS_PER_TERM + self.granted_in_term
            lease = pool.grant(waiter, fencing_token)
            self._extend_and_confirm(now_ms, lease_name, lease, waiter.sequence)

    def _extend_and_confirm(self, now_ms: float, lease_name: str, lease: Lease, sequence: int) -> None:
        """Set the expiry of a lease from now, and confirm the lease to its holder."""
        lease.expires_at_ms = now_ms + MAX_LEASE_MS
        granted = LeaseGranted(
            lease_name=lease_name,
            slot=lease.slot,
            fencing_token=lease.fencing_token,
            term=self.election.term,
            sequence=sequence,
            request_id=lease.request_id,
        )
        self.actions.send_lease_message(lease.holder, granted)

    def _refer_renewal(self, now_ms: float, sender: str, request: RenewRequest) -> None:
        if self.leads(now_ms):
            self._send_referral(sender, request, self.name, self.election.term)
        else:
            self._refer_to_leader(sender, request)

    def _refer_to_leader(self, sender: str, request: AcquireRequest | RenewRequest) -> None:
        self._send_referral(sender, request, self.election.leader, self.election.leader_term)

    def _send_referral(
        self, sender: str, request: AcquireRequest | RenewRequest, leader: str, term: int
    ) -> None:
        referral = LeaderReferral(
            lease_name=request.lease_name, leader=leader, term=term, sequence=request.sequence
        )
        self.actions.send_lease_message(sender, referral)


def _lease_from_renewal(now_ms: float, sender: str, request: RenewRequest) -> Lease:
    """Return the lease of a renewal that the previous leader granted to `sender`."""
    return Lease(
        holder=sender,
        request_id=request.request_id,
        slot=request.slot,
        fencing_token=request.fencing_token,
        expires_at_ms=now_ms,
        zone=request.zone,
    )


def _is_renewal_of(lease: Lease, sender: str, request: RenewRequest) -> bool:
    return (
        lease.holder == sender
        and lease.request_id.incarnation == request.incarnation
        and lease.fencing_token == request.fencing_token
    )
