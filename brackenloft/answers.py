"""What a request comes to, for every front alike. One answer for each request; a front encodes it."""

from __future__ import annotations

from dataclasses import dataclass


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


Answer = Served | Granted | Refused | Failed
FAILED = Failed()
