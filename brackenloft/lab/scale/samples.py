"""Synthetic server lists and configuration documents of any size, by seed."""

from __future__ import annotations

import random
from typing import Any

from brackenloft.configuration.model import Items, Match, Plan, Route, Service, Target, Tenant
from brackenloft.interface import ListKind, ServerEntry, ServerList, ServerState

ZONES = tuple("abcdefg")
PLANS = 12
CUSTOMERS = 2**33  # ids on the wire are below this
RESTED_MS = -3_600_000.0  # started an hour before the clock's zero: warm


def server_entry(number: int, state: ServerState = ServerState.READY) -> ServerEntry:
    """One server of a list, as discovery describes it."""
    zone = ZONES[number % len(ZONES)]
    return ServerEntry(number, zone, "m3", number % 50, state, 1.0, RESTED_MS)


def full_list(servers: int) -> ServerList:
    """A whole list."""
    return ServerList(ListKind.FULL, tuple(server_entry(number) for number in range(1, servers + 1)))


def changed_list(first: int, servers: int, state: ServerState) -> ServerList:
    """News of some servers in a row."""
    entries = tuple(server_entry(number, state) for number in range(first, first + servers))
    return ServerList(ListKind.CHANGES, entries)


def list_row(number: int, lifecycle: str = "Ready") -> dict[str, Any]:
    """One server as the platform's discovery writes it."""
    return {
        "instanceId": f"server-{number:05d}",
        "hostPort": f"10.{number // 65_536}.{number // 256 % 256}.{number % 256}:7000",
        "zone": ZONES[number % len(ZONES)],
        "lifecycle": lifecycle,
        "machineType": "m3",
        "cell": number % 50,
        "weight": 1.0,
        "startedAtMs": 0.0,
    }


def list_document(servers: int, reset: bool = True, lifecycle: str = "Ready") -> dict[str, Any]:
    """A list as the platform's discovery writes it; without ``reset`` a change."""
    rows = [list_row(number, lifecycle) for number in range(1, servers + 1)]
    return {"generation": 1, "reset": reset, "instances": rows}


def configuration(services: int, routes: int, tenants: int, seed: int = 1) -> Items:
    """A document's items: each route leads to one or two services, each tenant has a plan."""
    draw = random.Random(seed)
    service_names = [f"service-{number:04d}" for number in range(services)]
    return Items(
        services=tuple(
            Service(name, f"owned by team {number % 20}") for number, name in enumerate(service_names)
        ),
        routes=tuple(_route(number, draw, service_names) for number in range(routes)),
        plans=tuple(
            Plan(f"plan-{number:02d}", rate=10.0 * (number + 1), burst=20.0 * (number + 1), max_in_flight=50)
            for number in range(PLANS)
        ),
        tenants=tuple(
            Tenant(f"{number:016x}", f"plan-{draw.randrange(PLANS):02d}")
            for number in draw.sample(range(1, CUSTOMERS), tenants)
        ),
    )


def _route(number: int, draw: random.Random, service_names: list[str]) -> Route:
    match = Match(
        request_class="read" if number % 2 else "write", key_prefix=f"/team-{number % 20}/{number:05d}/"
    )
    chosen = draw.sample(service_names, min(len(service_names), 1 + number % 2))
    return Route(f"route-{number:05d}", match, tuple(Target(name, draw.randint(1, 100)) for name in chosen))
