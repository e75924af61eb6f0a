"""One lease server: it takes part in the election, and grants all leases while it leads. No I/O; times in ms.

The protocol and what it assumes of clocks are in the docstring of the package.
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

    Not thread-safe: for one actor's thread.
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
        """Starts as a follower.

        Args:
            actions: What it acts through.
            name: Of this server, one of `servers`.
            servers: All lease servers.
            capacities: How many clients may hold a lease at once, by lease name.
            seed: See `LeaderElection`.
            epoch: See `LeaderElection`.
            now_ms: Monotonic time of this server.
        """
        self.actions = actions
        self.name = name
        self.capacities = dict(capacities)
        self.election = LeaderElection(self, name, servers, seed, epoch, now_ms)
        self.grants_from_ms = 0.0  # leases of the leader before us have expired by then
        self.pools: dict[str, LeasePool] = {}  # by lease name; empty unless we lead
        self.granted_in_term = 0

    def leads(self, now_ms: float) -> bool:
        """Whether this server holds the leader lease now."""
        return self.election.leads(now_ms)

    def tick(self, now_ms: float) -> None:
        """Handles timers; to be called several times a second."""
        self.election.tick(now_ms)
        if not self.leads(now_ms):
            return
        for lease_name, pool in self.pools.items():
            for lease in pool.pop_expired(now_ms):
                self.actions.log_event(
                    "lease_expired", turn=lease_name, holder=lease.holder, fence=lease.fencing_token
                )
            pool.drop_unheard_waiters(now_ms)
            self._grant_waiting(now_ms, lease_name, pool)

    def receive(self, now_ms: float, sender: str, message: ServerMessage) -> None:
        """Handles a message of a client or of another server."""
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
        """Sends a message of the election."""
        self.actions.send_lease_message(to, message)

    def on_elected(self, now_ms: float, term: int) -> None:
        """Begins with empty pools; see `ElectionActions`."""
        self.grants_from_ms = now_ms + MAX_LEASE_MS
        self.pools = {lease_name: LeasePool(capacity) for lease_name, capacity in self.capacities.items()}
        self.granted_in_term = 0
        self.actions.log_event("lease_leader_elected", term=term)

    def on_stepped_down(self, term: int, reason: str) -> None:
        """Forgets all leases; see `ElectionActions`."""
        self.pools = {}
        self.actions.log_event("lease_leader_stepped_down", term=term, why=reason)

    def on_acquire_request(self, now_ms: float, sender: str, request: AcquireRequest) -> None:
        """Grants a lease, or answers with the place in the queue."""
        pool = self._pool(now_ms, request.lease_name)
        if pool is None:
            self._refer_to_leader(sender, request)
            return
        lease = pool.lease_of(sender)
        if lease is not None and lease.request_id > request.request_id:
            return  # a late message of an earlier request
        if lease is not None and lease.request_id == request.request_id:  # our answer was lost
            self._confirm(now_ms, request.lease_name, lease, request.sequence)
            return
        if lease is not None:  # the client has released that one; its notice is under way or lost
            del pool.leases[lease.slot]
        waiter = self._enqueue(now_ms, sender, request, pool)
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
        """Extends a lease; takes one over that the leader before us granted, while we grant none."""
        pool = self._pool(now_ms, request.lease_name)
        if pool is None or request.term != self.election.term:
            self._refer_renewal(now_ms, sender, request)
            return
        lease = pool.leases.get(request.slot)
        if lease is None and now_ms < self.grants_from_ms and 0 <= request.slot < pool.capacity:
            lease = _lease_of_predecessor(now_ms, sender, request)
            pool.leases[lease.slot] = lease
        if lease is None or not _is_lease_of(lease, sender, request):
            revoked = LeaseRevoked(lease_name=request.lease_name, fencing_token=request.fencing_token)
            self.actions.send_lease_message(sender, revoked)
            return
        self._confirm(now_ms, request.lease_name, lease, request.sequence)

    def on_release_notice(self, now_ms: float, sender: str, notice: ReleaseNotice) -> None:
        """Takes a lease back, or a waiter from the queue."""
        pool = self._pool(now_ms, notice.lease_name)
        if pool is None:
            return  # the lease expires
        pool.release(sender, notice.fencing_token, notice.request_id)
        self._grant_waiting(now_ms, notice.lease_name, pool)

    def _pool(self, now_ms: float, lease_name: str) -> LeasePool | None:
        return self.pools.get(lease_name) if self.leads(now_ms) else None

    def _enqueue(self, now_ms: float, sender: str, request: AcquireRequest, pool: LeasePool) -> Waiter | None:
        """The waiter of `sender`, up to date; None where the queue is full or the request is a late one."""
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
        """Grants free slots to waiters; none before the leases of the leader before us have expired."""
        if now_ms < self.grants_from_ms:
            return
        while pool.waiters and pool.has_free_slot():
            waiter = pool.pop_next_waiter()
            self.granted_in_term += 1
            fencing_token = self.election.term * TOKENS_PER_TERM + self.granted_in_term
            lease = pool.grant(waiter, fencing_token)
            self._confirm(now_ms, lease_name, lease, waiter.sequence)

    def _confirm(self, now_ms: float, lease_name: str, lease: Lease, sequence: int) -> None:
        """Lets a lease begin or go on from now, and says so to its holder."""
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
            self._refer(sender, request, self.name, self.election.term)
        else:
            self._refer_to_leader(sender, request)

    def _refer_to_leader(self, sender: str, request: AcquireRequest | RenewRequest) -> None:
        self._refer(sender, request, self.election.leader, self.election.leader_term)

    def _refer(self, sender: str, request: AcquireRequest | RenewRequest, leader: str, term: int) -> None:
        referral = LeaderReferral(
            lease_name=request.lease_name, leader=leader, term=term, sequence=request.sequence
        )
        self.actions.send_lease_message(sender, referral)


def _lease_of_predecessor(now_ms: float, sender: str, request: RenewRequest) -> Lease:
    """The lease that the leader before us granted to the sender of a renewal."""
    return Lease(
        holder=sender,
        request_id=request.request_id,
        slot=request.slot,
        fencing_token=request.fencing_token,
        expires_at_ms=now_ms,
        zone=request.zone,
    )


def _is_lease_of(lease: Lease, sender: str, request: RenewRequest) -> bool:
    return (
        lease.holder == sender
        and lease.request_id.incarnation == request.incarnation
        and lease.fencing_token == request.fencing_token
    )
