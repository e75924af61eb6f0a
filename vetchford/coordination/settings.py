"""The record `together` of the settings, in the terms of the code."""

from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any

from vetchford.gossip.fleet_signals import PROBE_LEASE_NAME


@dataclass(frozen=True, slots=True)
class FleetMemberSettings:
    """What a server is told of its fleet; the settings reader has checked it."""

    fleet: str
    name: str
    listen: str  # "host:port"
    servers: dict[str, str]  # address of each server, by name
    lease_servers: list[str]  # names
    lease_capacities: dict[str, int]  # how many may hold a lease at once, by lease name
    zone: str
    acts_on_records: bool  # on the state of the records service as the fleet sees it
    acts_on_full: bool  # on the share of requests that the fleet rejects

    @classmethod
    def from_record(cls, record: Mapping[str, Any]) -> "FleetMemberSettings":
        """The settings of a record."""
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
        """The settings with what a running server takes over from a record that was read anew."""
        return replace(self, acts_on_records=record["records"], acts_on_full=record["full"])
