"""What a client is told that is not served: status, RateLimit fields, problem details. Pure."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable, MutableMapping
from dataclasses import dataclass
from functools import lru_cache
from math import ceil
from typing import Any

from brackenloft import interface as api
from brackenloft.answers import Answer, Refused
from brackenloft.checks import FieldError

Headers = list[tuple[bytes, bytes]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]
BUSY_S = 1  # when to come back after a refusal that is no matter of quota: pressure is felt for some seconds
MEDIA_TYPE = b"application/problem+json"  # RFC 9457
MOST_PLANS = 256  # whose policies are kept as text
PREFIX = "urn:brackenloft:"
TITLES = {
    400: "The request can't be taken",
    413: "The body is too large",
    429: "Over the customer's quota",
    500: "The request could not be mapped",
    502: "No server has answered well",
    503: "No room at the moment",
}


@dataclass(frozen=True, slots=True)
class Problem:
    """An answer that is no service. ``field``: what was wrong with the request."""

    status: int
    kind: str
    detail: str
    headers: tuple[tuple[bytes, bytes], ...] = ()
    field: str | None = None

    def body(self) -> bytes:
        """The document of RFC 9457, 3."""
        document = {
            "type": PREFIX + self.kind,
            "title": TITLES[self.status],
            "status": self.status,
            "detail": self.detail,
        } | ({"field": self.field} if self.field else {})
        return json.dumps(document).encode()

    def all_headers(self) -> Headers:
        """All header fields of the answer."""
        return [(b"content-type", MEDIA_TYPE), (b"content-length", b"%d" % len(self.body())), *self.headers]

    async def send(self, send: Send) -> None:
        """The answer, whole."""
        await send({"type": "http.response.start", "status": self.status, "headers": self.all_headers()})
        await send({"type": "http.response.body", "body": self.body()})


def quota_headers(plan: str, allowance: api.Allowance) -> Headers:
    """``RateLimit-Policy`` and ``RateLimit`` (draft-ietf-httpapi-ratelimit-headers-10, 3 and 4).

    The quota is what may be used at once, its window the time in which that fills again; what is left is this
    gateway's view. Nothing for a plan without a quota.
    """
    if not allowance.rate:
        return []
    name, policy = _policy(plan, allowance.burst, allowance.rate)
    left, full = int(allowance.left), ceil(allowance.full_in_ms / 1000.0)
    return [(b"ratelimit-policy", policy), (b"ratelimit", b"%b;r=%d;t=%d" % (name, left, full))]


@lru_cache(MOST_PLANS)
def _policy(plan: str, burst: float, rate: float) -> tuple[bytes, bytes]:
    """A plan's name and policy as structured fields have them (RFC 9651, 3.3.3): one for all customers."""
    escaped = plan.replace("\\", "\\\\").replace('"', '\\"')
    name = f'"{escaped}"'.encode("ascii", "replace")
    return name, b"%b;q=%d;w=%d" % (name, int(burst), max(1, ceil(burst / rate)))


def for_answer(answer: Answer, headers: Headers, may_advise: bool) -> Problem:
    """For a refusal or a failure. When to come back is told where the settings allow it."""
    if not isinstance(answer, Refused):
        return Problem(502, "failed", "It failed, and may have been done all the same.", tuple(headers))
    wait = ceil(answer.retry_after_ms / 1000.0) if answer.retry_after_ms > 0 else BUSY_S
    back = [(b"retry-after", b"%d" % wait)] if may_advise else []
    if answer.over_quota:
        detail = "Nothing was done. The customer has used its quota for now."
        return Problem(429, "over-quota", detail, (*back, *headers))
    return Problem(503, "busy", "Nothing was done. Trying again is harmless.", (*back, *headers))


def for_field(error: FieldError) -> Problem:
    """For a request that can't be taken."""
    return Problem(400, "bad-field", str(error), field=error.field)


CLOSED = Problem(503, "closed", "The gateway is not open.", ((b"retry-after", b"%d" % BUSY_S),))
NOT_MAPPED = Problem(500, "not-mapped", "The request could not be mapped; nothing was done or charged.")


def too_large(most: int) -> Problem:
    """For a body that no server takes."""
    return Problem(413, "too-large", f"A body has at most {most} bytes.")
