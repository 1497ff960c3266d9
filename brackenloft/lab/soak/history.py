"""What a run writes down: requests, attempts, what befell gateways and servers. By time.monotonic()."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from math import inf


class Effect(StrEnum):
    """What may be repeated."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Answer(StrEnum):
    """A final answer as a client reads it."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"


@dataclass(slots=True)
class RequestRecord:
    """One request on one connection."""

    number: int
    effect: Effect
    gateway: int
    wait_s: float
    sent_at: float
    answer: Answer | None = None
    answered_at: float = inf
    turn_at: float = 0.0  # when the reply before it on its connection came
    left_at: float = inf  # its client closed the connection
    ended_at: float = inf  # its connection ended otherwise
    was_read: bool = False  # whole, by the gateway's process, when the connection had ended
    killed: bool = False  # its gateway was killed with no warning, or after all the time it is owed


@dataclass(slots=True)
class AttemptRecord:
    """One command that a server has read whole."""

    number: int  # of its request
    server: str
    at: float
    told_s: float  # the deadline that it was told
    ran: bool = False
    ended_at: float = inf


@dataclass(slots=True)
class ServerRecord:
    """What befell one server."""

    name: str
    starts: list[float] = field(default_factory=list)
    withdrawn_at: float = inf  # when it was told to drain


@dataclass(slots=True)
class ToldRecord:
    """When a gateway was told that a server drains or is gone."""

    gateway: int
    server: str
    at: float


@dataclass(slots=True)
class LagRecord:
    """A span in which the observer itself, or one gateway's process, waited for a processor."""

    began: float
    ended: float
    gateway: int | None = None  # None: the observer
    seconds: float = 0.0


@dataclass
class History:
    """One run."""

    requests: dict[int, RequestRecord] = field(default_factory=dict)
    attempts: list[AttemptRecord] = field(default_factory=list)
    servers: dict[str, ServerRecord] = field(default_factory=dict)
    told: list[ToldRecord] = field(default_factory=list)
    lags: list[LagRecord] = field(default_factory=list)
    crashes: list[str] = field(default_factory=list)
    ended_at: float = 0.0
