"""What a request comes to, for every front alike. One answer for each request; a front encodes it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class Served:
    """A server has done it; its value, unchanged."""

    value: bytes


@dataclass(frozen=True, slots=True)
class Granted:
    """The host may do it itself, and says when it has."""


@dataclass(frozen=True, slots=True)
class Refused:
    """Nothing was done: trying again is harmless, after so many milliseconds if the site advises (else 0).

    ``over_quota``: the customer's quota is the reason; else servers, room or time were wanting.
    """

    retry_after_ms: int = 0
    over_quota: bool = False


@dataclass(frozen=True, slots=True)
class Failed:
    """It failed, and may have been done all the same."""


@dataclass(frozen=True, slots=True)
class Opened:
    """A server has begun to answer; the value comes as a stream, for fronts that said they take one."""

    stream: Any


Answer = Served | Granted | Refused | Failed
SERVED = Served(b"")  # where the value itself went by
FAILED = Failed()


@dataclass(slots=True)
class Tally:
    """How many requests of one class have ended in which answer."""

    served: int = 0
    granted: int = 0  # to the host itself
    refused_quota: int = 0
    refused_busy: int = 0  # for want of servers, room or time
    failed: int = 0

    def count(self, answer: Answer) -> None:
        """One more."""
        if isinstance(answer, Served):
            self.served += 1
        elif isinstance(answer, Granted):
            self.granted += 1
        elif not isinstance(answer, Refused):
            self.failed += 1
        elif answer.over_quota:
            self.refused_quota += 1
        else:
            self.refused_busy += 1

    @property
    def passed(self) -> int:
        """Served, here or by a server."""
        return self.served + self.granted

    @property
    def dropped(self) -> int:
        """Refused, for whatever reason."""
        return self.refused_quota + self.refused_busy
