"""The size that is planned for, the budgets that come with it, and what is assumed where neither says it."""

from __future__ import annotations

from dataclasses import dataclass

SECONDS_PER_DAY = 86_400.0


@dataclass(frozen=True, slots=True)
class Target:
    """The planned size, as given by the operators."""

    gateways: int = 570
    servers: int = 6_300
    services: int = 140
    requests_per_s: float = 67_000.0
    routes: int = 3_900
    tenants: int = 55_000
    regions: int = 3
    zones: int = 7
    changes_per_day: int = 870
    machines_failed_per_day: int = 11
    machines_replaced_per_day: int = 1_700
    control_machines: int = 6

    @property
    def requests_per_gateway_s(self) -> float:
        """An even part of the peak."""
        return self.requests_per_s / self.gateways

    @property
    def servers_per_zone(self) -> int:
        """An even part, rounded up."""
        return -(-self.servers // self.zones)

    @property
    def gateways_per_zone(self) -> int:
        """An even part, rounded up."""
        return -(-self.gateways // self.zones)

    @property
    def servers_per_service(self) -> int:
        """An even part, rounded up."""
        return -(-self.servers // self.services)


@dataclass(frozen=True, slots=True)
class Budget:
    """What may be spent, as given by the operators."""

    added_ms: float = 3.7  # to a request, for 99 in 100; a loop that is held longer than this breaks it
    in_force_s: float = 12.0
    control_core_percent: float = 1.2  # of a gateway
    control_memory_mb: float = 128.0  # of a gateway
    control_bytes_s: float = 9_216.0  # of a gateway, both ways
    restart_storm_s: float = 30.0  # all gateways anew until all have the newest revision in force


@dataclass(frozen=True, slots=True)
class Assumptions:
    """What the target doesn't say and a formula needs. Shown on the page as assumptions, not as figures."""

    servers_per_rack: int = 40
    list_changes_per_replacement: int = 3  # it drains, is gone, and another one is ready
    release_s: float = 60.0  # in which the servers of one service are replaced
    registry_interval_s: float = 30.0  # between two questions of a gateway, the registry's usual interval


TARGET = Target()
BUDGET = Budget()
ASSUMPTIONS = Assumptions()
