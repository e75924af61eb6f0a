"""Quotas of the tenants: requests beyond a tenant's quota have a lower priority weight."""

import math

RATE_WINDOW_MS = 2000.0
MIN_RATE_PER_MS = 1e-9


class TenantQuotas:
    """Compares the rates of the tenants' first attempts with their quotas, in requests per millisecond."""

    def __init__(self, quotas: list[float], servers: int, over_quota_weight: float) -> None:
        """Divide the quotas evenly among the servers.

        Args:
            quotas: First attempts per millisecond over the whole fleet, by tenant.
            servers: Number of servers in the fleet.
            over_quota_weight: Factor on the priority weight of requests beyond the quota.
        """
        self.quotas = [quota / max(1, servers) for quota in quotas]
        self.quotas.append(math.inf)  # index -1 is for requests without a tenant
        self.over_quota_weight = over_quota_weight
        self.rates = [0.0] * len(self.quotas)
        self.updated_at_ms = [0.0] * len(self.quotas)

    def count(self, now_ms: float, tenant: int) -> None:
        """Count a first attempt of the tenant."""
        decay = math.exp((self.updated_at_ms[tenant] - now_ms) / RATE_WINDOW_MS)
        self.rates[tenant] = self.rates[tenant] * decay + 1.0 / RATE_WINDOW_MS
        self.updated_at_ms[tenant] = now_ms

    def weight(self, tenant: int) -> float:
        """Return the factor on the priority weight of the tenant's requests, 1 within its quota.

        Requests within and beyond the quota are not distinguished: all get the mean weight.
        """
        within_quota = min(1.0, self.quotas[tenant] / max(MIN_RATE_PER_MS, self.rates[tenant]))
        return within_quota + (1.0 - within_quota) * self.over_quota_weight
