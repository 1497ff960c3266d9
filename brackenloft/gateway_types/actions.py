"""Actions: what a gateway's decisions want done; exactly one final answer for each ``Request``.

All times are milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import inf

HERE = -1  # stands for the host itself, in a Send and its Outcome: no server has a number below 0


@dataclass(frozen=True, slots=True)
class Send:
    """Start an attempt. ``timeout_ms`` of 0: as long as the client waits. Attempts count from 0.

    ``write_within_ms``: the command is written whole within this time, or the attempt is not sent. It bounds
    a repeat of a keyed request by what is left of the servers' memory for its key.
    """

    request_id: str
    server: int
    timeout_ms: float = 0.0
    write_within_ms: float = inf


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: nothing was done, a retry is harmless; not before ``retry_after_ms`` if above 0.

    ``over_quota``: the customer's own quota is the reason, not a want of servers or room.
    """

    request_id: str
    retry_after_ms: float = 0.0
    over_quota: bool = False


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed, and nothing is promised about the effect."""

    request_id: str


@dataclass(frozen=True, slots=True)
class Cancel:
    """Stop waiting for an attempt; its outcome is still owed."""

    request_id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Deliver ``TimerFired(token)`` after this time. Once the named request has had its answer and no attempt
    of it is out, its timers mean nothing any more and need not be delivered.
    """

    token: int
    delay_ms: float
    request_id: str = ""


@dataclass(frozen=True, slots=True)
class Allowance:
    """What is left of a customer's quota as one gateway sees it: units at once, of so many, full again in ms.

    A ``burst`` of 0: the plan has no quota.
    """

    left: float
    burst: float
    rate: float
    full_in_ms: float


@dataclass(frozen=True, slots=True)
class Log:
    """A line for the people on call."""

    text: str


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Ask discovery for changes from now on, or for none."""

    active: bool = True


@dataclass(frozen=True, slots=True)
class FetchList:
    """Ask discovery for the whole list once."""


@dataclass(frozen=True, slots=True)
class Probe:
    """Ask a server how it is; costs it work."""

    server: int


@dataclass(frozen=True, slots=True)
class CloseIdle:
    """Close this gateway's idle connections to a server."""

    server: int


@dataclass(frozen=True, slots=True)
class TellPeer:
    """Send bytes to one gateway, or to all with -1."""

    peer: int
    data: bytes


@dataclass(frozen=True, slots=True)
class CounterAdd:
    """Add to a shared count; a new name is forgotten after ``lifetime_ms``."""

    name: int
    amount: float
    lifetime_ms: float


Action = (
    Send
    | Refuse
    | Fail
    | Cancel
    | SetTimer
    | Log
    | Subscribe
    | FetchList
    | Probe
    | CloseIdle
    | TellPeer
    | CounterAdd
)
