"""How many new documents a customer may have read: a bucket of bytes each, apart from its quota. Pure.

A document's cost is known only after it was read, and to read it is work for the gateway, not for a node:
nothing of a quota is charged for that. Guards against a client that sends ever new documents, which would be
read at the cost of everybody else's latency. Documents that are known (cached, persisted) are free, so that a
program that sends its own few again and again never meets this.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

MOST_CUSTOMERS = 10_000  # remembered: the longest unheard is as new, which a full bucket is too


@dataclass(frozen=True, slots=True)
class Reading:
    """Bytes of unknown documents: a second, and at once; those that wait to be read, over all customers."""

    bytes_s: float = 1024.0
    burst: float = 16_384.0
    waiting: int = 16

    def __post_init__(self) -> None:
        for name, value in (("bytes_s", self.bytes_s), ("burst", self.burst), ("waiting", self.waiting)):
            if not value > 0:
                raise ValueError(f"{name}: not above 0: {value!r}")


class Allowance:
    """What is left to each customer."""

    def __init__(self, reading: Reading) -> None:
        self.reading = reading
        self.used: OrderedDict[str, tuple[float, float]] = OrderedDict()  # bytes, and when

    def take(self, customer: str, size: int, now_ms: float) -> float:
        """Take so many bytes; 0 if they may be read, else the milliseconds until they may."""
        used, at = self.used.pop(customer, (0.0, now_ms))
        used = max(0.0, used - (now_ms - at) * self.reading.bytes_s / 1000.0)
        over = used + size - self.reading.burst
        if used and over > 0.0:
            self.used[customer] = (used, now_ms)
            return over * 1000.0 / self.reading.bytes_s
        self.used[customer] = (used + size, now_ms)
        if len(self.used) > MOST_CUSTOMERS:
            self.used.popitem(last=False)
        return 0.0
