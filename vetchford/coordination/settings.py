"""Typed form of the record `together` of the settings."""

from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any

from vetchford.gossip.fleet_signals import PROBE_LEASE_NAME


@dataclass(frozen=True, slots=True)
class FleetMemberSettings:
    """A server's settings of its fleet, which the settings reader has validated."""

    fleet: str
    name: str
    listen: str  # "host:port"
    servers: dict[str, str]  # address of each server, by name
    lease_servers: list[str]  # names
    lease_capacities: dict[str, int]  # maximum number of leases held at a time, by lease name
    zone: str
    acts_on_records: bool  # whether admission uses the state of the records service in the fleet
    acts_on_full: bool  # whether admission uses the share of requests that the fleet rejects

    @classmethod
    def from_record(cls, record: Mapping[str, Any]) -> "FleetMemberSettings":
        """Return the settings in a record."""
        return cls(
            fleet=record["fleet"],
            name=record["name"],
            listen=record["listen"],
            servers=record["servers"],
            lease_servers=record["keepers"],
            lease_capacities={**record["turns"], PROBE_LEASE_NAME: record["probes"]},
            zone=record["zone"],
            acts_on_records=record["records"],
            acts_on_full=record["full"],
        )

    def reloaded(self, record: Mapping[str, Any]) -> "FleetMemberSettings":
        """Return these settings with those of a reloaded record that a running server can change."""
        return replace(self, acts_on_records=record["records"], acts_on_full=record["full"])
