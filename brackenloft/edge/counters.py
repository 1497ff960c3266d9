"""What became of an edge's requests, as a host reads it."""

from __future__ import annotations

from dataclasses import asdict, fields

from brackenloft.answers import Tally
from brackenloft.net.clients import Clients
from brackenloft.net.driver import Driver
from brackenloft.net.servers import Servers


def request_counters(
    driver: Driver, clients: Clients, servers: Servers, granted_now: int
) -> dict[str, float]:
    """Requests so far by how they ended, what is in hand now, and how often each bound was reached."""
    now = {
        "in_hand": len(driver.calls),
        "granted_now": granted_now,
        "client_connections": len(clients.connections),
        "server_connections": len(servers.connections),
    }
    bounds = {
        f"bit: {name}": count for part in (clients, servers) for name, count in part.bites.counts.items()
    }
    obligations = driver.obligations
    closed = {f"closed: {reason}": count for reason, count in obligations.closed.items()}
    breaches = {f"breach: {breach}": count for breach, count in obligations.breaches.items()}
    half_closed = {f"half-closed: {reason}": count for reason, count in obligations.half_closed.items()}
    crossed = {f"crossed: {reason}": count for reason, count in obligations.crossed.items()}
    tallies = driver.tallies.values()
    ended = {field.name: sum(getattr(tally, field.name) for tally in tallies) for field in fields(Tally)}
    return asdict(driver.counters) | ended | now | bounds | closed | half_closed | crossed | breaches
