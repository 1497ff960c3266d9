"""The file of a control server: who it is, its peers, the stores that decide, and its bounds."""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import urlsplit

from brackenloft import config
from brackenloft.config import Address
from brackenloft.fleet.config import MOST_TIMEOUT_MS, PREFIX, Place
from brackenloft.fleet.registers.members import MOST_STORES

NAME = re.compile(r"[0-9A-Za-z][0-9A-Za-z._-]{0,63}")
LEAST_STORES = 3
MOST_PEERS = 31
LEAST_POLL_MS, MOST_POLL_MS = 20.0, 60_000.0
MOST_PUBLISH_MS = 120_000.0
MOST_SNAPSHOTS_PER_S = 10_000.0
MOST_COUNT = 1_000_000


def _check_name(key: str, name: str) -> None:
    if not NAME.fullmatch(name):
        raise ValueError(f"{key}: {name!r:.80} is not of letters, digits and . _ -, 64 at most")


@dataclass(frozen=True, slots=True)
class ControlPeer:
    """Another control server, as this one reaches it."""

    name: str
    url: str
    region: str = ""

    def __post_init__(self) -> None:
        _check_name("name", self.name)
        parts = urlsplit(self.url)
        if parts.scheme not in ("http", "https") or not parts.hostname or parts.query or parts.fragment:
            raise ValueError(f"url: {self.url!r:.100} is no http:// or https:// address")


@dataclass(frozen=True, slots=True)
class Bounds:
    """What this server takes on at most.

    ``waiting``: long polls at once; ``requests``: requests at once, long polls among them; ``connections``:
    of gateways, peers and operators, each of which takes a descriptor; ``records``: of the log, beyond which
    a gateway takes a snapshot; ``publish_ms``: from a publish's begin to its answer.
    """

    snapshots_per_s: float = 20.0
    snapshot_burst: int = 20
    waiting: int = 4096
    requests: int = 8192
    connections: int = 8192
    records: int = 2000
    publish_ms: float = 8000.0

    def __post_init__(self) -> None:
        if not 0.0 < self.snapshots_per_s <= MOST_SNAPSHOTS_PER_S:
            raise ValueError(f"snapshots_per_s: not above 0 and at most {MOST_SNAPSHOTS_PER_S:g}")
        for key in ("snapshot_burst", "waiting", "requests", "connections", "records"):
            if not 1 <= getattr(self, key) <= MOST_COUNT:
                raise ValueError(f"{key}: not from 1 to {MOST_COUNT}")
        if not 0.0 < self.publish_ms <= MOST_PUBLISH_MS:
            raise ValueError(f"publish_ms: not above 0 and at most {MOST_PUBLISH_MS:g}")


@dataclass(frozen=True, slots=True)
class ServerConfig:
    """The file. ``data``: a directory of this server alone; ``peers``: all other control servers.

    ``copies``: how many control servers, this one among them, hold a record before it may stand, and know a
    gateway's process before it gets configuration; 0 for a majority.
    """

    name: str
    region: str
    data: str
    stores: tuple[Place, ...]
    peers: tuple[ControlPeer, ...] = ()
    listen: str = "127.0.0.1:7201"
    copies: int = 0
    prefix: str = "fleet"
    timeout_ms: float = 300.0  # of a trip to a store
    poll_ms: float = 500.0  # between two readings of the register
    bounds: Bounds = field(default_factory=Bounds)

    def __post_init__(self) -> None:
        _check_name("name", self.name)
        _check_name("region", self.region)
        if not self.data:
            raise ValueError("data: is empty")
        if not LEAST_STORES <= len(self.stores) <= 2 * MOST_STORES:
            raise ValueError(f"stores: {len(self.stores)}; {LEAST_STORES} to {MOST_STORES} bear a loss")
        if len({place.name for place in self.stores}) != len(self.stores):
            raise ValueError("stores: names one twice")
        if len(self.peers) > MOST_PEERS:
            raise ValueError(f"peers: more than {MOST_PEERS}")
        if len({self.name, *(peer.name for peer in self.peers)}) != self.servers:
            raise ValueError("peers: names one twice, or this server itself")
        if self.copies and not self.servers < 2 * self.copies <= 2 * self.servers:
            raise ValueError(f"copies: {self.copies} is no majority of {self.servers} servers")
        if not PREFIX.fullmatch(self.prefix):
            raise ValueError(f"prefix: {self.prefix!r:.80} is not of letters, digits, - _ and :")
        if not 1.0 <= self.timeout_ms <= MOST_TIMEOUT_MS:
            raise ValueError(f"timeout_ms: not from 1 to {MOST_TIMEOUT_MS:g}")
        if not LEAST_POLL_MS <= self.poll_ms <= MOST_POLL_MS:
            raise ValueError(f"poll_ms: not from {LEAST_POLL_MS:g} to {MOST_POLL_MS:g}")
        config.address(self.listen, "listen")

    @property
    def servers(self) -> int:
        """How many control servers there are, this one among them."""
        return len(self.peers) + 1

    @property
    def copies_needed(self) -> int:
        """``copies``, or a majority of the control servers."""
        return self.copies or self.servers // 2 + 1

    @property
    def address(self) -> Address:
        """Host and port to listen at."""
        return config.address(self.listen, "listen")


def load(path: Path) -> ServerConfig:
    """Read and check a file; ConfigError names the file and the key."""
    return config.read_file(ServerConfig, path)
