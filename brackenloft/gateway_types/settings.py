"""The settings of a gateway's decisions: classes of requests, plans, limits and figures of the rules.

All times are milliseconds. Each type raises ValueError, which names the field, for a value out of range.
"""

from __future__ import annotations

from dataclasses import dataclass

from brackenloft.gateway_types.enums import DiscoveryMode, Effect, KeyScope
from brackenloft.gateway_types.validation import check_numbers, refuse_if

DEFAULT_IDLE_MS = 30_000.0  # of a connection, where the settings do not tell


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
        refuse_if(not self.name, self, "name", "is empty")
        check_numbers(
            self, 0.0, "aim_ms", "deadline_ms", "worth", "late_share", "key_memory_ms", "aim_stretch"
        )
        refuse_if(self.deadline_ms <= 0, self, "deadline_ms", "leaves no time")
        refuse_if(self.aim_ms <= 0, self, "aim_ms", "leaves no time")


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
        refuse_if(not self.name, self, "name", "is empty")
        check_numbers(self, 0.0, "rate", "burst", "max_in_flight", "price", "over_worth", "over_cost")
        check_numbers(self, 0.0, "ceiling_rate", "ceiling_burst", "ceiling_slack")
        refuse_if(self.rate > 0 and self.burst <= 0, self, "burst", "is nothing though there is a rate")
        nothing = self.ceiling_rate > 0 and self.ceiling_burst <= 0
        refuse_if(nothing, self, "ceiling_burst", "is nothing though there is a ceiling")


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
        check_numbers(self, 1, "max_attempts", "max_open", "max_customers")
        check_numbers(self, 0.0, "connect_timeout_ms", "max_retry_after_ms", "connection_idle_ms")


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
        check_numbers(self, 0.0, "answer_slack_ms", "drain_grace_ms", "cold_share", "warm_up_ms")
        check_numbers(self, 0.0, "tip_multiple", "tip_window_ms", "ask_within_ms")
        refuse_if(self.cold_share > 1, self, "cold_share", "is more than the whole")


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
        check_numbers(self, 1, "gateways")
        check_numbers(
            self, 0.0, "index", "meter_period_ms", "counter_timeout_ms", "tick_ms", "cross_zone_price"
        )
        refuse_if(self.index >= self.gateways, self, "index", "is not below the number of gateways")
        check_numbers(self, 0.0, "largest_units")
        refuse_if(self.largest_units <= 0, self, "largest_units", "is nothing")
        for name in ("classes", "plans"):
            names = [item.name for item in getattr(self, name)]
            refuse_if(not names, self, name, "is empty")
            refuse_if(len(set(names)) != len(names), self, name, "names one twice")
