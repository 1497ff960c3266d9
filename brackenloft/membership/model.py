"""What sources say of nodes, in one language; pure data. Times are milliseconds of the gateway's clock."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from brackenloft import interface as api

Address = tuple[str, int]
Key = tuple[str, str, int]  # name, host, port: a name that moves is another node


@dataclass(frozen=True, slots=True)
class Instance:
    """A node as one source tells of it.

    ``ready``: new work may go there; False for whatever else a source says. ``started_ms``: of its process,
    0 for long ago. ``registered_ms``: when it claimed its address; of several of one source, the last has it.
    """

    name: str
    host: str
    port: int
    zone: str = ""
    kind: str = ""
    cell: int = 0
    ready: bool = True
    size: float = 1.0
    started_ms: float = 0.0
    registered_ms: float = 0.0

    @property
    def key(self) -> Key:
        """Its identity among all sources."""
        return self.name, self.host, self.port

    @property
    def address(self) -> Address:
        """Where it listens."""
        return self.host, self.port


@dataclass(frozen=True, slots=True)
class Said:
    """A source answered, and this has changed since it last did.

    ``left``: said to have left, by name. ``absent``: missing from a whole list, which says less: a registry
    that was restarted has forgotten what it knew.
    """

    source: int
    changed: tuple[Instance, ...] = ()
    left: tuple[str, ...] = ()
    absent: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Tried:
    """An attempt to connect to a server, by the decisions' number, came up or did not."""

    server: int
    reached: bool


class Combine(StrEnum):
    """What several sources make together."""

    UNION = "union"  # whatever any of them lists
    FALLBACK = "fallback"  # the first that is fresh; where none is, the first that has a list


@dataclass(frozen=True, slots=True)
class SourceTerms:
    """One source. ``stale_after_ms`` without a word from it, what it said is stale.

    ``hold_ms``: how long what is absent from a whole list is kept, where more than ``most_absent`` of the
    list is gone within that time.
    """

    name: str
    stale_after_ms: float
    hold_ms: float = 90_000.0  # a lease's length unless it says otherwise: who lives has come back by then
    most_absent: float = 0.15  # the share of lost leases from which registries doubt themselves too

    def __post_init__(self) -> None:
        if not self.name:
            raise ValueError("SourceTerms.name: is empty")
        if not self.stale_after_ms > 0.0:
            raise ValueError(f"SourceTerms.stale_after_ms: not above 0: {self.stale_after_ms!r}")
        if not self.hold_ms >= 0.0:
            raise ValueError(f"SourceTerms.hold_ms: below 0: {self.hold_ms!r}")
        if not 0.0 <= self.most_absent <= 1.0:
            raise ValueError(f"SourceTerms.most_absent: no share: {self.most_absent!r}")


@dataclass(frozen=True, slots=True)
class Update:
    """What the decisions are told, and the addresses of those that are in it."""

    news: api.ServerList
    addresses: dict[int, Address]
