"""Clients' commands, read into requests: everything is checked here, at the edge."""

from __future__ import annotations

import re
from collections.abc import Mapping
from typing import Any

from brackenloft import interface as api
from brackenloft.checks import Checks
from brackenloft.net import wire

ID = re.compile(rb"[0-9A-Za-z]{1,64}")  # of a request, and an idempotency key
WHOLE = re.compile(rb"[0-9]{1,6}")
DECIMAL = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")
USUAL = re.compile(  # the list of names and values as most write it; the forms of each are the same
    rb"c=([^,=]+),t=([^,=]+),d=([0-9]{1,9}(?:\.[0-9]{1,9})?),(?:k=([0-9A-Za-z]{1,64}),)?"
    rb"units=([0-9]{1,9}(?:\.[0-9]{1,9})?),spread=([0-9]{1,6}),first=([0-9]{1,6})(?:,r=([01]))?"
)


class CommandError(ValueError):
    """A command that is answered with an error; the connection lives on."""


def _field(fields: dict[bytes, bytes], name: bytes, form: re.Pattern[bytes]) -> bytes:
    text = fields.get(name, b"")
    if not form.fullmatch(text):
        raise CommandError(f"bad or missing value of {name.decode()}")
    return text


class Requests:
    """Reads CALL.GET and CALL.POST into requests.

    Everything is checked here, before it is charged or sent on. Guards against figures that would do harm
    further on: huge units in a usual customer's name, sets and deadlines out of range, texts that only look
    like numbers ("1_0", "0x1", "nan").
    """

    def __init__(self, settings: api.Settings) -> None:
        self.checks = Checks(settings)
        self.classes = {item.name.encode(): item for item in settings.classes}
        self.plans: Mapping[bytes, str] = {item.name.encode(): item.name for item in settings.plans}

    def read(self, command: list[bytes]) -> tuple[api.Request, wire.Encoder]:
        """The request, and what encodes it for a server that has so many milliseconds."""
        name, posts = command[0].upper(), command[0].upper() == b"CALL.POST"
        if len(command) != (5 if posts else 4):
            raise CommandError(f"wrong number of arguments for {name.decode()}")
        _, customer, request_id, listed = command[:4]
        usual = USUAL.fullmatch(listed)
        fields = usual.groups() if usual else self._fields(listed, customer)
        c, t, wait, key, units, spread, first, again = fields
        kind, plan = self.classes.get(c), self._plan(t, customer)
        if kind is None or plan is None:
            raise CommandError("unknown class or plan")
        if posts == (kind.effect is api.Effect.SAFE):
            raise CommandError("the class does not go with the command")
        if kind.effect is api.Effect.KEYED and key is None:
            raise CommandError("bad or missing value of k")
        if not ID.fullmatch(request_id):
            raise CommandError("bad request id")
        checks = self.checks
        request = api.Request(
            request_id=request_id.decode("ascii"),
            class_name=kind.name,
            plan=plan,
            customer=checks.customer(customer.decode("latin-1")),
            patience_ms=checks.patience(float(wait), kind),
            units=checks.units(float(units)),
            width=checks.place("spread", int(spread), 1),
            first_gateway=checks.place("first", int(first), 0),
            is_retry=again == b"1",
            is_write=posts,
        )
        return request, wire.forwarded(name, command, listed)

    def _plan(self, name: bytes, customer: bytes) -> str | None:
        """The plan that a client names; if there is none of that name, that of a customer who is listed."""
        return self.plans.get(name) or self.checks.listed_plan(customer.decode("latin-1")) or None

    def _fields(self, listed: bytes, customer: bytes) -> tuple[Any, ...]:
        """The list in any other order, or with other names in it; checked alike."""
        fields: dict[bytes, bytes] = {}
        for part in listed.split(b","):
            name, equals, value = part.partition(b"=")
            if not equals or not name or name in fields:
                raise CommandError("bad list of names and values")
            fields[name] = value
        if fields.get(b"r", b"1") not in (b"0", b"1"):
            raise CommandError("bad value of r")
        plan = self._plan(fields.get(b"t", b""), customer)
        if self.classes.get(fields.get(b"c", b"")) is None or plan is None:
            raise CommandError("unknown class or plan")
        key = fields.get(b"k")
        return (
            fields[b"c"],
            fields.get(b"t", b""),
            _field(fields, b"d", DECIMAL),
            key if key and ID.fullmatch(key) else None,
            _field(fields, b"units", DECIMAL),
            _field(fields, b"spread", WHOLE),
            _field(fields, b"first", WHOLE),
            fields.get(b"r"),
        )
