"""How often each limit has bitten, and a line of the log when it begins to."""

from __future__ import annotations

import logging
import time
from collections import Counter
from math import inf

log = logging.getLogger(__name__)

QUIET_S = 10.0  # a limit that goes on biting is named once in so long


class Bites:
    """Counts by the limit's name."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.named: dict[str, float] = {}

    def bite(self, limit: str, what: str) -> None:
        """A limit has bitten; ``what`` it did, for the log."""
        self.counts[limit] += 1
        now = time.monotonic()
        if now - self.named.get(limit, -inf) >= QUIET_S:
            self.named[limit] = now
            log.warning("%s: %s (%d times so far)", limit, what, self.counts[limit])
