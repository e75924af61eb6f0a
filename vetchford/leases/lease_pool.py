"""The leases of one name on the leader: the holders of its slots and the queue of waiting clients.

No I/O; times in ms by the leader's clock.
"""

from dataclasses import dataclass, field

from vetchford.leases.messages import RequestId
from vetchford.leases.timing import MAX_WAITERS, WAITER_TIMEOUT_MS


@dataclass(slots=True)
class Lease:
    """A slot and the client that holds it."""

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
    sequence: int  # of its latest request; echoed in the grant
    waiting_since_ms: float
    last_seen_ms: float


@dataclass(slots=True)
class LeasePool:
    """Up to `capacity` leases of one name, and the queue of clients that wait for one."""

    capacity: int
    leases: dict[int, Lease] = field(default_factory=dict)  # by slot
    waiters: list[Waiter] = field(default_factory=list)  # in order of their first request
    last_token_of_zone: dict[str, int] = field(default_factory=dict)

    def lease_held_by(self, client: str) -> Lease | None:
        """Return the lease that `client` holds; None if it holds none."""
        return next((lease for lease in self.leases.values() if lease.holder == client), None)

    def enqueue(self, now_ms: float, client: str, request_id: RequestId, zone: str) -> Waiter | None:
        """Return the waiter of `client`, adding it to the queue if it is new; None if the queue is full."""
        waiter = next((waiter for waiter in self.waiters if waiter.client == client), None)
        if waiter is None and len(self.waiters) < MAX_WAITERS:
            waiter = Waiter(
                client, request_id, zone, sequence=0, waiting_since_ms=now_ms, last_seen_ms=now_ms
            )
            self.waiters.append(waiter)
        return waiter

    def has_free_slot(self) -> bool:
        """Return whether another lease may be granted."""
        return len(self.leases) < self.capacity

    def pop_next_waiter(self) -> Waiter:
        """Remove and return the next waiter of the queue.

        The zone with the fewest leases comes first, and among equal zones the one whose latest grant is the
        oldest; within a zone the client that has waited longest.
        """
        waiter = min(self.waiters, key=self._grant_order)
        self.waiters.remove(waiter)
        return waiter

    def _grant_order(self, waiter: Waiter) -> tuple[int, int, float]:
        leases_of_zone = sum(lease.zone == waiter.zone for lease in self.leases.values())
        return leases_of_zone, self.last_token_of_zone.get(waiter.zone, 0), waiter.waiting_since_ms

    def grant(self, waiter: Waiter, fencing_token: int) -> Lease:
        """Grant the lowest free slot to `waiter`; the caller sets when the lease expires."""
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
        """Remove the lease with this token and the client's waiter, unless it is of a later request."""
        for slot, lease in list(self.leases.items()):
            if (lease.holder, lease.fencing_token) == (client, fencing_token):
                del self.leases[slot]
        self.waiters = [
            waiter for waiter in self.waiters if waiter.client != client or waiter.request_id > request_id
        ]

    def pop_expired(self, now_ms: float) -> list[Lease]:
        """Remove and return the leases that have expired."""
        slots = [slot for slot, lease in self.leases.items() if now_ms >= lease.expires_at_ms]
        return [self.leases.pop(slot) for slot in slots]

    def drop_timed_out_waiters(self, now_ms: float) -> None:
        """Remove waiters that have sent no request for `WAITER_TIMEOUT_MS`."""
        self.waiters = [waiter for waiter in self.waiters if now_ms - waiter.last_seen_ms < WAITER_TIMEOUT_MS]
