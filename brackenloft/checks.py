"""What a request may say, checked once at the edge, for every front alike, before anything is charged."""

from __future__ import annotations

import re
from collections.abc import Callable, Collection
from math import isfinite

from brackenloft import interface as api

CLIENT_MARGIN_MS = 10.0  # kept of a client's wait: the way here and back, and a loop that is late
LAST_CUSTOMER = 1 << 33
LONGEST_NAME = 128  # characters of a customer's name, where no server has to read it
CUSTOMER = re.compile(r"[0-9a-fA-F]{16}")
ID = re.compile(r"[0-9A-Za-z]{1,64}")  # of a request, and an idempotency key


class FieldError(ValueError):
    """A field of a request that can't be taken; ``field`` names it."""

    def __init__(self, field: str, reason: str) -> None:
        super().__init__(f"{field}: {reason}")
        self.field, self.reason = field, reason


class Checks:
    """What the settings allow in a request. All raise FieldError."""

    def __init__(self, settings: api.Settings) -> None:
        self.gateways, self.largest = settings.gateways, settings.largest_units
        self.classes = {item.name: item for item in settings.classes}
        self.plans: Collection[str] = {item.name for item in settings.plans}
        self.plan_of: Callable[[str], str] | None = None  # tells the plan of customers that are listed

    def kind(self, name: object) -> api.RequestClass:
        """The class of this name."""
        found = self.classes.get(name) if isinstance(name, str) else None
        if found is None:
            raise FieldError("class_name", f"no such class: {name!r:.60}")
        return found

    def plan(self, name: object, customer: object = "") -> str:
        """The plan of this name; for a customer that is listed, its own if there is none of this name."""
        if not isinstance(name, str) or name not in self.plans:
            listed = self.listed_plan(customer)
            if not listed:
                raise FieldError("plan", f"no such plan: {name!r:.60}")
            return listed
        return name

    def listed_plan(self, customer: object) -> str:
        """The plan of a customer that is listed with one, else an empty text."""
        return self.plan_of(customer.lower()) if self.plan_of and isinstance(customer, str) else ""

    def patience(self, wait_ms: float, kind: api.RequestClass) -> float:
        """How long the answer may take, at most the class's deadline: timers are kept for that long."""
        if not self._number(wait_ms) or wait_ms <= 0.0:
            raise FieldError("patience_ms", f"not a time above 0: {wait_ms!r:.60}")
        return max(0.0, min(wait_ms, kind.deadline_ms) - CLIENT_MARGIN_MS)

    def units(self, units: float) -> float:
        """Units that the request takes from the quota."""
        if not self._number(units) or not 0.0 < units <= self.largest:
            raise FieldError("units", f"not above 0 and at most {self.largest:g}: {units!r:.60}")
        return units

    def place(self, field: str, number: int, low: int) -> int:
        """The number of gateways of a customer's set, from 1, or of its first one, from 0."""
        if type(number) is not int or not low <= number < self.gateways + low:
            raise FieldError(field, f"not from {low} to {self.gateways + low - 1}: {number!r:.60}")
        return number

    def customer(self, name: object) -> str:
        """A customer as servers know it: 16 hex digits, a number below 2 to the 33rd."""
        if not isinstance(name, str) or not CUSTOMER.fullmatch(name) or int(name, 16) >= LAST_CUSTOMER:
            raise FieldError("customer", f"not 16 hex digits below 2**33: {name!r:.60}")
        return name.lower()

    def local_customer(self, name: object) -> str:
        """A customer that only this gateway knows: any printable text of a bounded length."""
        if not isinstance(name, str) or not 0 < len(name) <= LONGEST_NAME or not name.isprintable():
            raise FieldError("customer", f"not 1 to {LONGEST_NAME} printable characters: {name!r:.60}")
        return name

    def key(self, key: object, kind: api.RequestClass) -> str | None:
        """An idempotency key: a keyed class needs one, others have none."""
        if kind.effect is not api.Effect.KEYED:
            if key is not None:
                raise FieldError("key", f"class {kind.name} has none")
            return None
        return self.identifier("key", key)

    def identifier(self, field: str, text: object) -> str:
        """A request's id, or a key."""
        if not isinstance(text, str) or not ID.fullmatch(text):
            raise FieldError(field, f"not 1 to 64 letters and digits: {text!r:.60}")
        return text

    @staticmethod
    def _number(value: object) -> bool:
        return type(value) in api.NUMBERS and isfinite(value)  # type: ignore[arg-type]
