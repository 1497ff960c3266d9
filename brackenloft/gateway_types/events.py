"""Events: what happens to a gateway and is handed to its decisions.

All times are milliseconds. Event times come from the caller's clock, given to ``Gateway.handle``.
Whoever drives a gateway owes it one ``Outcome`` for each ``Send`` and one ``TimerFired`` for each
``SetTimer`` of a request that is not done.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from brackenloft.gateway_types.enums import ListKind, ServerState, Status
from brackenloft.gateway_types.settings import Plan
from brackenloft.gateway_types.validation import check_numbers


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """A server in a list. ``started_ms`` is the clock time of its last start, 0 if long past."""

    server: int
    zone: str
    kind: str = ""
    cell: int = 0
    state: ServerState = ServerState.READY
    size: float = 1.0
    started_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class ServerList:
    """Discovery's news. CHANGES alter the list held; FULL and CACHED replace it; FAILED has no entries."""

    kind: ListKind
    entries: tuple[ServerEntry, ...] = ()
    version: int = 0


@dataclass(frozen=True, slots=True)
class Request:
    """A client's try. It may come through ``width`` gateways in a row from number ``first_gateway``.

    ``served_here``: the host does the work itself; it is metered, held and capped like any other, and sent
    to ``HERE`` once at most. ``scarcity``: of what the request alone would hold for some time, as the first
    one on a new connection, this share is taken by others (0 to 1); 0 where nothing is held for it.
    ``turnover``: of these, so many come free in a second at least.
    ``age_ms``: how long before its reading it had come; ``patience_ms`` counts from its reading.
    ``paid``: its units were charged with another request's, of which it is a part; they say its worth alone.
    """

    request_id: str
    class_name: str
    plan: str
    customer: str
    patience_ms: float
    units: float = 1.0
    width: int = 1
    first_gateway: int = 0
    is_retry: bool = False
    is_write: bool = False
    served_here: bool = False
    scarcity: float = 0.0
    turnover: float = 0.0
    age_ms: float = 0.0
    paid: bool = False

    def __post_init__(self) -> None:
        check_numbers(self, 0.0, "units", "patience_ms", "scarcity", "turnover", "age_ms")
        check_numbers(self, 1, "width")

    @property
    def charge(self) -> float:
        """Units that it takes from quota and ceiling."""
        return 0.0 if self.paid else self.units


@dataclass(frozen=True, slots=True)
class Outcome:
    """How an attempt ended; one for each Send. ``closed``: the request has had its final answer.

    ``used_percent`` is the customer's late metered use by all gateways, in percent of its rate;
    ``final_units`` replaces a guess; ``load`` has a value for each of ``Settings.load_fields``.
    """

    request_id: str
    attempt: int
    server: int
    status: Status
    latency_ms: float
    closed: bool = False
    used_percent: float | None = None
    final_units: float | None = None
    load: tuple[float, ...] | None = None


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """A streamed answer has begun: the attempt is the client's now and has no deadline."""

    request_id: str
    attempt: int
    server: int
    latency_ms: float


@dataclass(frozen=True, slots=True)
class ClientGone:
    """The client has left; nothing more is owed for this request."""

    request_id: str


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer set with ``SetTimer`` has fallen due."""

    token: int


@dataclass(frozen=True, slots=True)
class ProbeResult:
    """The answer to one ``Probe``."""

    server: int
    status: Status
    latency_ms: float
    load: tuple[float, ...] | None = None


@dataclass(frozen=True, slots=True)
class Stopping:
    """The gateway will be ended: every request in hand, and any that still comes, is answered within this."""

    within_ms: float


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """Bytes from another gateway."""

    sender: int
    data: bytes


@dataclass(frozen=True, slots=True)
class CounterReply:
    """The answer to one ``CounterAdd``; ``total`` counts with OK only."""

    name: int
    status: Status
    total: float
    latency_ms: float


@dataclass(frozen=True, slots=True)
class Reading:
    """What a shared counter leaves this gateway of a customer's quota: a share of it, news for so long.

    It never lowers the even floor, and what it says is over when it is no news any more.
    """

    plan: str
    customer: str
    share: float
    lasts_ms: float


@dataclass(frozen=True, slots=True)
class PlansChanged:
    """Other plans are in force from now on; only where ``Settings.plans_change`` says that this may come.

    ``plans`` by name, never changed after; one that is as it was is the same object. ``plan_of`` tells the
    plan of a customer, or "" where the request's own word for it counts. Requests in hand keep the terms that
    they began with; what is sent from now on is within the ceiling and the in-flight cap now in force.
    """

    plans: Mapping[str, Plan]
    plan_of: Callable[[str], str]


Event = (
    ServerList
    | Request
    | Outcome
    | StreamStarted
    | ClientGone
    | TimerFired
    | ProbeResult
    | PeerMessage
    | CounterReply
    | Reading
    | Stopping
    | PlansChanged
)
