"""The platform's meter: how much of its quota a customer has used over all nodes."""

from __future__ import annotations

import time
from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass

MOST_REQUESTS = 10_000  # requests remembered: the oldest go first
METER_S = 1.0


@dataclass(frozen=True, slots=True)
class Quota:
    """Units a second."""

    rate: float


class Meter:
    """A customer's use over all nodes, in percent of its quota, in the last finished period."""

    def __init__(self, quotas: Mapping[str, Quota]) -> None:
        self.quotas = quotas
        self.period = 0
        self.now: dict[tuple[str, str], float] = {}
        self.last: dict[tuple[str, str], float] = {}
        self.total: dict[tuple[str, str], float] = {}
        self.seen: OrderedDict[bytes, None] = OrderedDict()

    def _turn(self) -> None:
        period = int(time.monotonic() / METER_S)
        if period != self.period:
            self.last = self.now if period == self.period + 1 else {}
            self.now, self.period = {}, period

    def count(self, request_id: bytes, plan: str, customer: str, units: float) -> None:
        """A request has come whole to a node; the first time counts."""
        self._turn()
        if request_id in self.seen:
            return
        self.seen[request_id] = None
        if len(self.seen) > MOST_REQUESTS:
            self.seen.popitem(last=False)
        key = (plan, customer)
        self.now[key] = self.now.get(key, 0.0) + units
        self.total[key] = self.total.get(key, 0.0) + units

    def used(self, plan: str, customer: str) -> int | None:
        """Percent of the quota, or None where the plan has none."""
        self._turn()
        quota = self.quotas.get(plan)
        if quota is None or quota.rate <= 0.0:
            return None
        return int(100.0 * self.last.get((plan, customer), 0.0) / METER_S / quota.rate)
