"""From an HTTP request to a call: who asks, under which plan, for what class of work. Pure."""

from __future__ import annotations

import re
from collections.abc import Awaitable, Callable, MutableMapping
from dataclasses import dataclass
from typing import Any

from brackenloft import interface as api
from brackenloft.checks import FieldError
from brackenloft.edge import Call

Scope = MutableMapping[str, Any]
SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "TRACE", "QUERY"})  # RFC 9110, 9.2.1, and QUERY
WAIT = re.compile(r"(?:^|[,\s])wait=([0-9]{1,6})(?:$|[,;\s])")  # RFC 7240, 4.3: seconds
UNITS = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")


@dataclass(frozen=True, slots=True)
class Admit:
    """The host serves it, once the gateway grants it."""

    call: Call


@dataclass(frozen=True, slots=True)
class Forward:
    """A board node serves it; the body of the request is the call's, the value the answer's."""

    call: Call
    media_type: str = "application/octet-stream"


Mapped = Admit | Forward | None  # None: the gateway has nothing to do with it
Mapper = Callable[[Scope], Mapped | Awaitable[Mapped]]


def header(scope: Scope, name: bytes) -> str | None:
    """The one value of a header field (its name in lower case), or None. FieldError if it stands twice."""
    values = [value for key, value in scope["headers"] if key == name]
    if len(values) > 1:
        raise FieldError(name.decode(), "stands more than once")
    return values[0].decode("latin-1").strip() if values else None


class HeaderMapper:
    """The default: header fields say who asks; the method and ``Idempotency-Key`` say what class it is.

    Safe methods are of the first safe class of the settings, others of the first keyed one if they bring a
    key and else of the first unsafe one. ``X-Units`` may tell the units, ``Prefer: wait=SECONDS`` how long.
    Whoever faces the open network puts a check of the caller before this: it believes what it reads.
    """

    def __init__(
        self,
        settings: api.Settings,
        *,
        customer_header: str = "x-customer",
        plan_header: str = "x-plan",
        plan: str | None = None,
        forward: bool = False,
        prefix: str = "/",
    ) -> None:
        self.customer_header = customer_header.lower().encode()
        self.plan_header = plan_header.lower().encode()
        self.plan, self.forward, self.prefix = plan, forward, prefix
        self.by_effect: dict[api.Effect, str] = {}
        for item in settings.classes:
            self.by_effect.setdefault(item.effect, item.name)

    def __call__(self, scope: Scope) -> Mapped:
        """The call; None for a path outside the prefix. Raises FieldError."""
        if not scope["path"].startswith(self.prefix):
            return None
        customer = header(scope, self.customer_header)
        if not customer:
            raise FieldError(self.customer_header.decode(), "is missing")
        key, wait = self._key(scope), WAIT.search(header(scope, b"prefer") or "")
        plan = header(scope, self.plan_header) or self.plan
        if not plan:
            raise FieldError(self.plan_header.decode(), "is missing")
        effect = self._effect(scope["method"], key)
        call = Call(
            self._class(effect),
            plan,
            customer,
            key=key if effect is api.Effect.KEYED else None,
            units=self._units(scope),
            patience_ms=float(wait[1]) * 1000.0 if wait else None,
        )
        return Forward(call) if self.forward else Admit(call)

    def _effect(self, method: str, key: str | None) -> api.Effect:
        if method in SAFE_METHODS:
            return api.Effect.SAFE
        return api.Effect.KEYED if key else api.Effect.UNSAFE

    def _class(self, effect: api.Effect) -> str:
        if effect not in self.by_effect:
            raise FieldError(
                "idempotency-key" if effect is api.Effect.UNSAFE else "method",
                f"no class of the settings is {effect.value}",
            )
        return self.by_effect[effect]

    def _key(self, scope: Scope) -> str | None:
        """A string of structured fields has quotes (RFC 9651, 3.3.3); keys without are usual too."""
        key = header(scope, b"idempotency-key")
        return key[1:-1] if key and len(key) > 2 and key[0] == key[-1] == '"' else key

    def _units(self, scope: Scope) -> float:
        units = header(scope, b"x-units")
        if units is None:
            return 1.0
        if not UNITS.fullmatch(units):
            raise FieldError("x-units", "not a number")
        return float(units)
