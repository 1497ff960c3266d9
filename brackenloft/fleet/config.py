"""The fleet's file: stores, leases, tasks, each key checked."""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import urlsplit

from brackenloft import config
from brackenloft.fleet.leases import model as leases
from brackenloft.fleet.leases.terms import MOST_DRIFT
from brackenloft.fleet.registers.members import MOST_STORES, STORE_NAME

PREFIX = re.compile(r"[0-9A-Za-z_:-]{1,64}")
KINDS = ("sweep", "probe")
LOGS = ("text", "json")
USES = re.compile(r"[A-Za-z_][\w.]*:[A-Za-z_]\w*")
MOST_TIMEOUT_MS = 10_000.0
MOST_TASKS = 100
LEAST_PACE_MS, MOST_PACE_MS = 50.0, 86_400_000.0
ROUND_TRIPS = 6  # of a round at a store: a lease must bear some that time out


@dataclass(frozen=True, slots=True)
class Place:
    """A store and where this gateway reaches it. ``durable``: a restart loses nothing that it answered."""

    name: str
    url: str
    durable: bool = False

    def __post_init__(self) -> None:
        parts = urlsplit(self.url)
        if not STORE_NAME.fullmatch(self.name):
            raise ValueError(f"name: {self.name!r:.60} is not of small letters, digits and -")
        if parts.scheme not in ("redis", "rediss") or not parts.hostname:
            raise ValueError("url: is no redis:// or rediss:// address")  # it may hold a password: not shown

    def shown(self) -> str:
        """Without user and password."""
        parts = urlsplit(self.url)
        return f"{self.name} at {parts.hostname}:{parts.port or 6379}"


@dataclass(frozen=True, slots=True)
class Task:
    """A task. ``kind``: one of ours, or ``package.module:name`` of a factory that is given ``option``."""

    name: str
    kind: str
    every_ms: float = 10_000.0
    longest_ms: float = 60_000.0
    ended_ms: float = 600_000.0  # sweep: a run of a gateway that has stood still for so long has ended
    option: str = ""

    def __post_init__(self) -> None:
        if not leases.NAME.fullmatch(self.name):
            raise ValueError(f"name: {self.name!r:.80} is not of small letters, digits and . _ -, 64 at most")
        if self.kind not in KINDS and not USES.fullmatch(self.kind):
            raise ValueError(f"kind: {self.kind!r:.80} is none of {', '.join(KINDS)} or package.module:name")
        for name, value in (("every_ms", self.every_ms), ("longest_ms", self.longest_ms)):
            if not LEAST_PACE_MS <= value <= MOST_PACE_MS:
                raise ValueError(f"{name}: not from {LEAST_PACE_MS:g} to {MOST_PACE_MS:g}")
        if not 0.0 < self.ended_ms <= MOST_PACE_MS:
            raise ValueError(f"ended_ms: not above 0 and at most {MOST_PACE_MS:g}")


@dataclass(frozen=True, slots=True)
class Trial:
    """For tests alone: a clock that runs at another rate."""

    clock_rate: float = 1.0

    def __post_init__(self) -> None:
        if not 0.5 <= self.clock_rate <= 2.0:
            raise ValueError("clock_rate: not from 0.5 to 2")


@dataclass(frozen=True, slots=True)
class Document:
    """The file."""

    stores: tuple[Place, ...]
    tasks: tuple[Task, ...] = ()
    prefix: str = "fleet"
    timeout_ms: float = 300.0  # of a trip to a store
    lease_ms: float = 5000.0
    drift: float = 0.01  # by which any two clocks run apart at most
    log: str = "text"  # or json: of all the program's lines
    trial: Trial = field(default_factory=Trial)

    def __post_init__(self) -> None:
        if len(self.stores) < 3 or len(self.stores) > 2 * MOST_STORES:
            raise ValueError(f"stores: {len(self.stores)}; 3 to {MOST_STORES} bear a loss")
        if len({place.name for place in self.stores}) != len(self.stores):
            raise ValueError("stores: names one twice")
        if len({task.name for task in self.tasks}) != len(self.tasks) or len(self.tasks) > MOST_TASKS:
            raise ValueError(f"tasks: names one twice, or more than {MOST_TASKS}")
        if not PREFIX.fullmatch(self.prefix):
            raise ValueError(f"prefix: {self.prefix!r:.80} is not of letters, digits, - _ and :")
        if not 1.0 <= self.timeout_ms <= MOST_TIMEOUT_MS:
            raise ValueError(f"timeout_ms: not from 1 to {MOST_TIMEOUT_MS:g}")
        if not leases.LEAST_MS <= self.lease_ms <= leases.MOST_MS:
            raise ValueError(f"lease_ms: not from {leases.LEAST_MS:g} to {leases.MOST_MS:g}")
        if self.lease_ms < ROUND_TRIPS * self.timeout_ms:
            raise ValueError(f"lease_ms: under {ROUND_TRIPS} times timeout_ms: a slow store would cost it")
        if self.log not in LOGS:
            raise ValueError(f"log: {self.log!r:.20} is none of {', '.join(LOGS)}")
        if not 0.0 <= self.drift <= MOST_DRIFT:
            raise ValueError(f"drift: not from 0 to {MOST_DRIFT:g}")


def load(path: Path, counts: bool = True) -> Document:
    """Read and check a file; ConfigError for whatever is wrong with it. ``counts``: there is a counter."""
    document = config.read_file(Document, path)
    for number, task in enumerate(document.tasks):
        if task.kind == "sweep" and not counts:
            raise config.ConfigError(f"{path}: tasks[{number}]: sweep wants a counter, and none is named")
    return document
