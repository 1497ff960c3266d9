"""The file that switches membership on: sources, their order, and whether the gateway registers itself."""

from __future__ import annotations

import asyncio
import gc
import json
import tomllib
from collections.abc import Callable
from dataclasses import dataclass
from math import inf
from pathlib import Path
from typing import TYPE_CHECKING
from urllib.parse import urlsplit

from brackenloft import config as files
from brackenloft.config import ConfigError
from brackenloft.edge import Node
from brackenloft.edge.edge import Edge
from brackenloft.membership.eureka.rounds import Server
from brackenloft.membership.eureka.servers import PORTS, Choice
from brackenloft.membership.members import Members, Running, Start
from brackenloft.membership.model import Address, Combine, Said, SourceTerms
from brackenloft.membership.platform import DiscoverySource, ListedSource

if TYPE_CHECKING:
    from brackenloft.membership.eureka.registrar import Registrar

STALE_POLLS = 3.0  # polls without an answer, and the time one may take, after which a list is stale
DISCOVERY_STALE_S = 6.0  # discovery's news counts as told after that in any case
LEAST_INTERVAL_S = 0.1


@dataclass(frozen=True, slots=True)
class EurekaTable:
    """A registry. See docs/operate/membership.md for each key."""

    name: str
    servers: tuple[Server, ...]
    apps: tuple[str, ...] = ()
    vips: tuple[str, ...] = ()
    vip: str = ""
    secure_vip: str = ""
    port: str = "plain"
    interval_s: float = 5.0
    timeout_s: float = 10.0
    stale_after_s: float | None = None
    hold_s: float = 90.0
    most_absent: float = 0.15
    deltas: bool = True
    compact: bool = False
    xml: bool = False
    kind_key: str = "machineType"
    cell_key: str = "cell"
    weight_key: str = "weight"
    started_key: str = "startedAtMs"

    def __post_init__(self) -> None:
        if not self.servers:
            raise ValueError("servers: is empty")
        for server in self.servers:
            parts = urlsplit(server.url)
            if parts.scheme not in ("http", "https") or not parts.hostname or parts.query or parts.username:
                raise ValueError(f"servers: no URL of a registry: {server.url!r:.100}")
        if not self.interval_s >= LEAST_INTERVAL_S or not self.timeout_s > 0.0:
            raise ValueError(f"interval_s: below {LEAST_INTERVAL_S}, or timeout_s not above 0")
        if self.port not in PORTS:
            raise ValueError(f"port: {self.port!r} is none of {', '.join(PORTS)}")
        if self.vip and self.secure_vip:
            raise ValueError("vip: and secure_vip can't both be asked for")


@dataclass(frozen=True, slots=True)
class DiscoveryTable:
    """Discovery's agent at ``address``."""

    name: str
    address: str
    hold_s: float = 0.0
    most_absent: float = 1.0  # its whole lists are the platform's word


@dataclass(frozen=True, slots=True)
class ListedTable:
    """Nodes named here."""

    name: str
    nodes: tuple[Node, ...]


@dataclass(frozen=True, slots=True)
class RegisterTable:
    """The gateway's own entry in a registry: the servers of the source that ``at`` names."""

    at: str
    app: str
    host: str
    name: str = ""  # the instance's id; app and address where it is left out
    port: int = 0  # 0: where it listens
    vip: str = ""
    health_url: str = ""
    interval_s: float = 30.0
    lease_s: float = 90.0

    def __post_init__(self) -> None:
        if not self.app or not self.host:
            raise ValueError("app: is empty, or host is")
        if not 0 <= self.port <= files.LAST_PORT:
            raise ValueError(f"port: not from 0 to {files.LAST_PORT}: {self.port!r}")
        if not 1.0 <= self.interval_s < self.lease_s:
            raise ValueError("interval_s: not from 1 to less than lease_s")


@dataclass(frozen=True, slots=True)
class Document:
    """The file. ``order`` names the sources, the one that counts most first; needed if there are several."""

    combine: Combine = Combine.UNION
    order: tuple[str, ...] = ()
    eureka: tuple[EurekaTable, ...] = ()
    discovery: tuple[DiscoveryTable, ...] = ()
    listed: tuple[ListedTable, ...] = ()
    register: RegisterTable | None = None


Table = EurekaTable | DiscoveryTable | ListedTable


def load(path: Path) -> Document:
    """Read and check a file; ConfigError for whatever is wrong with it."""
    try:
        text = path.read_text()
        table = json.loads(text) if path.suffix == ".json" else tomllib.loads(text)
    except (OSError, ValueError) as error:
        raise ConfigError(f"{path}: {' '.join(str(error).split())}") from error
    try:
        return read(table)
    except (ConfigError, ValueError) as error:
        raise ConfigError(f"{path}: {error}") from error


def read(table: object) -> Document:
    """From the file's content; ConfigError or ValueError names the key."""
    document = files.build(Document, table, "")
    for source in in_order(document):
        _terms(source)
        if isinstance(source, DiscoveryTable):
            files.address(source.address, "discovery.address")
    if document.register and document.register.at not in {item.name for item in document.eureka}:
        raise ConfigError(f"register.at: names no registry: {document.register.at!r:.100}")
    return document


def in_order(document: Document) -> list[Table]:
    """The sources, the first in the order first. Raises ConfigError."""
    tables: list[Table] = [*document.eureka, *document.discovery, *document.listed]
    named = {item.name: item for item in tables}
    if not tables:
        raise ConfigError("no source: one of eureka, discovery, listed is to be given")
    if len(named) != len(tables):
        raise ConfigError("name: names two sources")
    if len(tables) > 1 and not document.order:
        raise ConfigError("order: is missing, and there are several sources")
    if document.order and (set(document.order) != set(named) or len(document.order) != len(named)):
        raise ConfigError(f"order: is to name each of {', '.join(named)} once")
    return [named[name] for name in document.order] or tables


def _terms(table: Table) -> SourceTerms:
    if isinstance(table, ListedTable):
        return SourceTerms(table.name, inf)
    if isinstance(table, DiscoveryTable):
        return SourceTerms(table.name, DISCOVERY_STALE_S * 1000.0, table.hold_s * 1000.0, table.most_absent)
    stale_s = table.stale_after_s
    if stale_s is None:
        stale_s = STALE_POLLS * table.interval_s + table.timeout_s
    return SourceTerms(table.name, stale_s * 1000.0, table.hold_s * 1000.0, table.most_absent)


def _start(table: Table, zone: str, seed: int) -> Start:
    """What runs a source, once there is a loop."""

    def start(number: int, say: Callable[[Said], None], clock: Callable[[], float]) -> Running:
        if isinstance(table, ListedTable):
            return ListedSource(number, table.nodes, zone, say)
        if isinstance(table, DiscoveryTable):
            address: Address = files.address(table.address, "discovery.address")
            return DiscoverySource(number, address, say)
        from brackenloft.membership.eureka.client import Eureka, Terms

        choice = Choice(
            table.apps,
            table.vips,
            table.port,
            zone,
            table.kind_key,
            table.cell_key,
            table.weight_key,
            table.started_key,
        )
        terms = Terms(
            table.servers,
            choice,
            zone,
            table.interval_s * 1000.0,
            table.timeout_s * 1000.0,
            table.vip,
            table.secure_vip,
            table.deltas,
            table.compact,
            table.xml,
        )
        return Eureka(number, terms, say, clock, seed + number)

    return start


class Membership:
    """The sources of an edge and its own entry, running."""

    def __init__(self, members: Members, registrar: Registrar | None) -> None:
        self.members, self.registrar = members, registrar
        self.settling = asyncio.get_running_loop().create_task(self._settle())

    async def _settle(self) -> None:
        """A list of thousands is there to stay: the collector need not walk it each time.

        Guards against pauses of tens of milliseconds. For a program of its own, not within a host's.
        """
        await self.members.first.wait()
        gc.freeze()

    async def withdraw(self) -> None:
        """Before the edge closes: nobody is to be sent here any more."""
        if self.registrar:
            await self.registrar.close()

    async def close(self) -> None:
        """After the edge has closed: until then it still has to learn who drains."""
        self.settling.cancel()
        await self.members.close()


def run(document: Document, edge: Edge, listens: Address) -> Membership:
    """Follow the sources for an open edge that listens there, and register it if the file says so."""
    members = follow(document, edge)
    return Membership(members, _register(document, edge, listens))


def _register(document: Document, edge: Edge, listens: Address) -> Registrar | None:
    table = document.register
    if table is None:
        return None
    from brackenloft.membership.eureka.registrar import Entry, Registrar

    (registry,) = [item for item in document.eureka if item.name == table.at]
    port = table.port or listens[1]
    return Registrar(
        edge,
        Entry(
            tuple(server.url for server in registry.servers),
            table.app,
            table.name or f"{table.host}:{table.app.lower()}:{port}",
            table.host,
            port,
            table.vip,
            edge.settings.zone,
            table.health_url,
            table.interval_s,
            table.lease_s,
        ),
    )


def follow(document: Document, edge: Edge) -> Members:
    """Follow the sources for an open edge."""
    zone = edge.settings.zone
    sources = [(_terms(table), _start(table, zone, edge.seed)) for table in in_order(document)]
    return Members(edge, sources, document.combine)
