"""Servers in the form that discovery has: those that a host names itself, those that the decisions know."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from brackenloft.checks import FieldError
from brackenloft.net.server_host import Host
from brackenloft.policy.servers import Server

LAST_PORT = 65535


@dataclass(frozen=True, slots=True)
class Node:
    """A board node. ``name`` is its identity: a new one at the same address is another node.

    ``started_ms``: Unix time of its last start, 0 for long ago; a young one is cold. ``weight`` is its size
    beside the others.
    """

    name: str
    host: str
    port: int
    zone: str = ""
    kind: str = ""
    cell: int = 0
    weight: float = 1.0
    started_ms: float = 0.0
    draining: bool = False

    def __post_init__(self) -> None:
        if not self.name or not self.host:
            raise FieldError("name" if not self.name else "host", "is empty")
        if not 0 < self.port <= LAST_PORT:
            raise FieldError("port", f"not from 1 to {LAST_PORT}: {self.port!r}")


def listing(nodes: Iterable[Node], zone: str, generation: int) -> dict[str, Any]:
    """The whole list, as discovery would tell it; nodes without a zone are in ``zone``."""
    rows = [
        {
            "instanceId": node.name,
            "hostPort": f"{node.host}:{node.port}",
            "zone": node.zone or zone,
            "machineType": node.kind,
            "cell": node.cell,
            "weight": node.weight,
            "startedAtMs": node.started_ms,
            "lifecycle": "Terminating" if node.draining else "Ready",
        }
        for node in nodes
    ]
    names = [row["instanceId"] for row in rows]
    if len(set(names)) != len(names):
        raise FieldError("name", "names one node twice")
    return {"generation": generation, "reset": True, "instances": rows}


def listed(
    numbers: Mapping[str, int], servers: Mapping[int, Server], hosts: Mapping[int, Host]
) -> dict[str, Any]:
    """A list of servers as the decisions have it, in discovery's form. ``numbers``: by discovery's names."""
    names = {number: name for name, number in numbers.items()}
    rows = []
    for number, server in servers.items():
        host = hosts.get(number)
        if host and number in names:
            rows.append(
                {
                    "instanceId": names[number],
                    "hostPort": f"{host.address[0]}:{host.address[1]}",
                    "zone": server.zone,
                    "cell": server.cell,
                    "startedAtMs": server.started,
                    "lifecycle": "Ready" if server.ready else "Terminating",
                }
            )
    return {"generation": 0, "reset": True, "instances": rows}
