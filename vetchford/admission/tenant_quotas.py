"""Quotas of the tenants: what a tenant sends beyond its share of the fleet counts for less."""

import math

RATE_WINDOW = 2000.0  # ms: a surge shows within a couple of seconds, chance clumps do not


class TenantQuotas:
    """Rates of the tenants' first attempts against their quotas."""

    def __init__(self, quotas: list[float], servers: int, over_quota_weight: float) -> None:
        self.quotas = [quota / max(1, servers) for quota in quotas] + [math.inf]  # a ms; index -1: no tenant
        self.over_quota_weight = over_quota_weight
        self.rates, self.updated_at = [0.0] * len(self.quotas), [0.0] * len(self.quotas)

    def count(self, now_ms: float, tenant: int) -> None:
        fade = math.exp((self.updated_at[tenant] - now_ms) / RATE_WINDOW)
        self.rates[tenant], self.updated_at[tenant] = self.rates[tenant] * fade + 1.0 / RATE_WINDOW, now_ms

    def weight(self, tenant: int) -> float:
        """Factor on the priority weight of the tenant's requests, 1 within its quota."""
        within = min(1.0, self.quotas[tenant] / max(1e-9, self.rates[tenant]))
        return within + (1.0 - within) * self.over_quota_weight
