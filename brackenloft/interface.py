"""The types that go in and out of the decision module: settings, events, actions, outcomes.

All times are milliseconds. Event times come from the caller's clock, given to ``Gateway.handle``.
Whoever drives a gateway owes it one ``Outcome`` for each ``Send`` and one ``TimerFired`` for each
``SetTimer`` of a request that is not done; the gateway owes each ``Request`` exactly one final answer.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum
from math import inf

HERE = -1  # stands for the host itself, in a Send and its Outcome: no server has a number below 0
NUMBERS = (float, int)  # and no bool, which is an int by inheritance
DEFAULT_IDLE_MS = 30_000.0  # of a connection, where the settings do not tell


class Effect(Enum):
    """Whether a request may be repeated: freely, within a group that knows its key, or never."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class KeyScope(Enum):
    """Which servers drop repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class DiscoveryMode(Enum):
    """How server lists come: unasked, or only after ``Subscribe`` or ``FetchList``."""

    PUSH = "push"
    ASK = "ask"


class ServerState(Enum):
    """What discovery says of a server's process."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """What a server list holds: changes, everything, everything as last known, or a failed call."""

    CHANGES = "changes"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


class Status(Enum):
    """How an attempt, a probe or a counter call ended. FULL, CONNECT_FAILED and NOT_SENT never ran."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"


def _check(owner: object, low: float, *names: str) -> None:
    """Raise ValueError for the first named field that is not a number of at least ``low``."""
    for name in names:
        value = getattr(owner, name)
        if type(value) not in NUMBERS or not low <= value < inf:
            raise ValueError(f"{type(owner).__name__}.{name}: {value!r} is not a number of at least {low}")


def _refuse_if(wrong: bool, owner: object, name: str, reason: str) -> None:
    """Raise ValueError that names the field and its value."""
    if wrong:
        raise ValueError(f"{type(owner).__name__}.{name}: {getattr(owner, name)!r} {reason}")


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests. ``worth`` is per unit; ``late_share`` of it is earned after the aim."""

    name: str
    aim_ms: float
    deadline_ms: float
    effect: Effect
    worth: float = 1.0
    late_share: float = 0.0
    key_scope: KeyScope = KeyScope.ALL
    key_memory_ms: float = 0.0
    streamed: bool = False
    aim_stretch: float = 0.0

    def __post_init__(self) -> None:
        _refuse_if(not self.name, self, "name", "is empty")
        _check(self, 0.0, "aim_ms", "deadline_ms", "worth", "late_share", "key_memory_ms", "aim_stretch")
        _refuse_if(self.deadline_ms <= 0, self, "deadline_ms", "leaves no time")
        _refuse_if(self.aim_ms <= 0, self, "aim_ms", "leaves no time")


@dataclass(frozen=True, slots=True)
class Plan:
    """A plan's quota per customer over all gateways: units a second, units at once, attempts out.

    A rate, an in-flight limit or a ceiling rate of 0 means that the plan has none.
    """

    name: str
    rate: float = 0.0
    burst: float = 0.0
    max_in_flight: int = 0
    price: float = 1.0
    over_worth: float = 0.0
    over_cost: float = 0.0
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0
    ceiling_slack: float = 0.0

    def __post_init__(self) -> None:
        _refuse_if(not self.name, self, "name", "is empty")
        _check(self, 0.0, "rate", "burst", "max_in_flight", "price", "over_worth", "over_cost")
        _check(self, 0.0, "ceiling_rate", "ceiling_burst", "ceiling_slack")
        _refuse_if(self.rate > 0 and self.burst <= 0, self, "burst", "is nothing though there is a rate")
        nothing = self.ceiling_rate > 0 and self.ceiling_burst <= 0
        _refuse_if(nothing, self, "ceiling_burst", "is nothing though there is a ceiling")


@dataclass(frozen=True, slots=True)
class Limits:
    """What the site permits a gateway to do. ``max_customers``: known at once, at 600 bytes each."""

    max_attempts: int = 1
    may_duplicate: bool = False
    can_cancel: bool = False
    can_probe: bool = False
    can_message_peers: bool = False
    can_advise_retry: bool = False
    max_open: int = 1_000_000
    connect_timeout_ms: float = 250.0
    max_retry_after_ms: float = 0.0
    connection_idle_ms: float = DEFAULT_IDLE_MS
    max_customers: int = 100_000

    def __post_init__(self) -> None:
        _check(self, 1, "max_attempts", "max_open", "max_customers")
        _check(self, 0.0, "connect_timeout_ms", "max_retry_after_ms", "connection_idle_ms")


@dataclass(frozen=True, slots=True)
class Contract:
    """The figures of the rules: answers, drains and cold servers."""

    answer_slack_ms: float = 0.0
    drain_grace_ms: float = 0.0
    cold_share: float = 1.0
    warm_up_ms: float = 0.0
    tip_multiple: float = 1.0
    tip_window_ms: float = 0.0
    ask_within_ms: float = 0.0

    def __post_init__(self) -> None:
        _check(self, 0.0, "answer_slack_ms", "drain_grace_ms", "cold_share", "warm_up_ms")
        _check(self, 0.0, "tip_multiple", "tip_window_ms", "ask_within_ms")
        _refuse_if(self.cold_share > 1, self, "cold_share", "is more than the whole")


@dataclass(frozen=True, slots=True)
class Settings:
    """All that a gateway is told at its start.

    ``plans_change``: plans and customers' plans are put in force while the gateway runs, by ``PlansChanged``;
    a customer is then kept under its name alone, whatever its plan.
    """

    gateways: int
    index: int
    zone: str
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    limits: Limits = Limits()
    contract: Contract = Contract()
    discovery: DiscoveryMode = DiscoveryMode.PUSH
    load_fields: tuple[str, ...] = ()
    meter_period_ms: float = 0.0
    largest_units: float = 1.0
    settles: bool = False
    has_counter: bool = False
    counter_timeout_ms: float = 0.0
    tick_ms: float = 1.0
    cross_zone_price: float = 0.0
    plans_change: bool = False

    def __post_init__(self) -> None:
        _check(self, 1, "gateways")
        _check(self, 0.0, "index", "meter_period_ms", "counter_timeout_ms", "tick_ms", "cross_zone_price")
        _refuse_if(self.index >= self.gateways, self, "index", "is not below the number of gateways")
        _check(self, 0.0, "largest_units")
        _refuse_if(self.largest_units <= 0, self, "largest_units", "is nothing")
        for name in ("classes", "plans"):
            names = [item.name for item in getattr(self, name)]
            _refuse_if(not names, self, name, "is empty")
            _refuse_if(len(set(names)) != len(names), self, name, "names one twice")


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
        _check(self, 0.0, "units", "patience_ms", "scarcity", "turnover", "age_ms")
        _check(self, 1, "width")

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
    ServerList | Request | Outcome | StreamStarted | ClientGone | TimerFired
    | ProbeResult | PeerMessage | CounterReply | Reading | Stopping | PlansChanged
)


@dataclass(frozen=True, slots=True)
class Send:
    """Start an attempt. ``timeout_ms`` of 0: as long as the client waits. Attempts count from 0."""

    request_id: str
    server: int
    timeout_ms: float = 0.0


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
    Send | Refuse | Fail | Cancel | SetTimer | Log | Subscribe | FetchList | Probe | CloseIdle
    | TellPeer | CounterAdd
)
