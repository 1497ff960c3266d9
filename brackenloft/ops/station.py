"""The second address of one gateway: its calls read and move the gateway's lifecycle and figures."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from brackenloft.edge.edge import Edge
from brackenloft.net.address import Address
from brackenloft.ops.address import SecondAddress
from brackenloft.ops.calls import Response, respond
from brackenloft.ops.figures import Standing, document


class Station:
    """Where operators find this gateway; OSError where the address can't be had."""

    def __init__(self, edge: Edge, address: Address) -> None:
        self.edge = edge
        self.more: dict[str, Callable[[], object]] = {}  # figures of what is switched on beside the gateway
        self.address = SecondAddress(*address, self._answer)
        self.close = self.address.close

    def _answer(self, method: str, path: str) -> Response:
        return respond(method, path, self.edge.lifecycle, self._figures)

    def _figures(self) -> dict[str, Any]:
        edge = self.edge
        fleet = edge.driver.gateway.fleet
        doors = edge.driver.doors.values()
        figures = document(
            edge.driver.tallies,
            Standing(
                tries=edge.servers.tries + sum(door.tries for door in doors),
                in_progress=edge.driver.in_progress,
                known=len(fleet.servers),
                skipped=fleet.avoided(),
            ),
        )
        obligations = edge.driver.obligations
        figures["connections_closed"] = dict(obligations.closed)
        figures["closed_unread"] = dict(obligations.closed_unread)
        figures["connections_half_closed"] = dict(obligations.half_closed)
        figures["connections_crossed"] = dict(obligations.crossed)
        figures["attempts_withheld"] = dict(obligations.withheld)
        figures["memory_held"] = {kind.value: size for kind, size in edge.memory.held.items()}
        figures["breaches"] = dict(obligations.breaches)
        figures["requests_lost_to_slow_peers"] = obligations.lost
        return figures | {name: read() for name, read in self.more.items()}
