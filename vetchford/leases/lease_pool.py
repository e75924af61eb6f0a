"""The leases of one name as the leader sees them: who holds a slot, and who waits for one.

No I/O; times in ms by the leader's clock.
"""

from dataclasses import dataclass, field

from vetchford.leases.messages import RequestId
from vetchford.leases.timing import MAX_WAITERS, WAITER_TIMEOUT_MS


@dataclass(slots=True)
class Lease:
    """A slot that a client holds."""

    holder: str
    request_id: RequestId
    slot: int
    fencing_token: int
    expires_at_ms: float
    zone: str


@dataclass(slots=True)
class Waiter:
    """A client in the wait queue."""

    client: str
    request_id: RequestId
    zone: str
    sequence: int  # of its last request, to be echoed with the grant
    since_ms: float
    last_seen_ms: float


@dataclass(slots=True)
class LeasePool:
    """Up to `capacity` leases of one name and the queue for them."""

    capacity: int
    leases: dict[int, Lease] = field(default_factory=dict)  # by slot
    waiters: list[Waiter] = field(default_factory=list)  # in order of their first request
    last_token_of_zone: dict[str, int] = field(default_factory=dict)

    def lease_of(self, client: str) -> Lease | None:
        """The lease that `client` holds."""
        return next((lease for lease in self.leases.values() if lease.holder == client), None)

    def enqueue(self, now_ms: float, client: str, request_id: RequestId, zone: str) -> Waiter | None:
        """The waiter of `client`, added if it is new; None where the queue is full."""
        waiter = next((waiter for waiter in self.waiters if waiter.client == client), None)
        if waiter is None and len(self.waiters) < MAX_WAITERS:
            waiter = Waiter(client, request_id, zone, sequence=0, since_ms=now_ms, last_seen_ms=now_ms)
            self.waiters.append(waiter)
        return waiter

    def has_free_slot(self) -> bool:
        """Whether one more lease may be granted."""
        return len(self.leases) < self.capacity

    def pop_next_waiter(self) -> Waiter:
        """Takes the next waiter from the queue.

        It is of the zone with the fewest leases, among these of the zone served longest ago; within a zone
        the waiters come in order.
        """
        waiter = min(self.waiters, key=self._grant_order)
        self.waiters.remove(waiter)
        return waiter

    def _grant_order(self, waiter: Waiter) -> tuple[int, int, float]:
        leases_of_zone = sum(lease.zone == waiter.zone for lease in self.leases.values())
        return leases_of_zone, self.last_token_of_zone.get(waiter.zone, 0), waiter.since_ms

    def grant(self, waiter: Waiter, fencing_token: int) -> Lease:
        """Gives the lowest free slot to `waiter`; the caller sets when the lease expires."""
        slot = next(slot for slot in range(self.capacity) if slot not in self.leases)
        self.last_token_of_zone[waiter.zone] = fencing_token
        lease = Lease(
            holder=waiter.client,
            request_id=waiter.request_id,
            slot=slot,
            fencing_token=fencing_token,
            expires_at_ms=0.0,
            zone=waiter.zone,
        )
        self.leases[slot] = lease
        return lease

    def release(self, client: str, fencing_token: int, request_id: RequestId) -> None:
        """Takes back a lease, and the place in the queue of that request and earlier ones."""
        for slot, lease in list(self.leases.items()):
            if (lease.holder, lease.fencing_token) == (client, fencing_token):
                del self.leases[slot]
        self.waiters = [
            waiter for waiter in self.waiters if waiter.client != client or waiter.request_id > request_id
        ]

    def pop_expired(self, now_ms: float) -> list[Lease]:
        """Takes away and returns the leases that have expired."""
        slots = [slot for slot, lease in self.leases.items() if now_ms >= lease.expires_at_ms]
        return [self.leases.pop(slot) for slot in slots]

    def drop_unheard_waiters(self, now_ms: float) -> None:
        """Takes clients from the queue that no longer ask."""
        self.waiters = [waiter for waiter in self.waiters if now_ms - waiter.last_seen_ms < WAITER_TIMEOUT_MS]
