"""The file that tells a gateway where control servers are, named as ``control`` in its own file."""

from __future__ import annotations

import re
from dataclasses import dataclass
from pathlib import Path
from urllib.parse import urlsplit

from brackenloft import config

NAME = re.compile(r"[0-9A-Za-z][0-9A-Za-z._-]{0,63}")
MOST_SERVERS = 32
LEAST_WAIT_MS, MOST_WAIT_MS = 100.0, 60_000.0
DEFAULT_WAIT_MS = 4000.0


def _check_name(field: str, name: str) -> None:
    if not NAME.fullmatch(name):
        raise ValueError(f"{field}: {name!r:.80} is not of letters, digits and . _ -, 64 at most")


@dataclass(frozen=True, slots=True)
class ControlServer:
    """A control server, and the region that it is in."""

    name: str
    url: str
    region: str = ""

    def __post_init__(self) -> None:
        _check_name("name", self.name)
        parts = urlsplit(self.url)
        if parts.scheme not in ("http", "https") or not parts.hostname or parts.query or parts.fragment:
            raise ValueError(f"url: {self.url!r:.100} is no http:// or https:// address")


@dataclass(frozen=True, slots=True)
class ClientConfig:
    """Who this gateway is and which control servers it may ask.

    ``gateway``: a name that no other gateway has; empty for ``gateway-INDEX`` by ``site.index``.
    ``wait_ms``: how long a control server may wait with its answer while nothing changes.
    """

    servers: tuple[ControlServer, ...]
    gateway: str = ""
    region: str = ""
    zone: str = ""
    wait_ms: float = DEFAULT_WAIT_MS

    def __post_init__(self) -> None:
        if self.gateway:
            _check_name("gateway", self.gateway)
        if not 0 < len(self.servers) <= MOST_SERVERS:
            raise ValueError(f"servers: not 1 to {MOST_SERVERS} of them")
        names = [server.name for server in self.servers]
        if len(set(names)) != len(names):
            raise ValueError("servers: names one twice")
        if not LEAST_WAIT_MS <= self.wait_ms <= MOST_WAIT_MS:
            raise ValueError(f"wait_ms: not from {LEAST_WAIT_MS:g} to {MOST_WAIT_MS:g}")


def load(path: Path) -> ClientConfig:
    """Read and check a file; ConfigError names the file and the key."""
    return config.read_file(ClientConfig, path)
