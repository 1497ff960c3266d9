"""What clients of an experiment write to a gateway, and how they read its answers."""

from __future__ import annotations

from typing import Any

from brackenloft import interface as api
from brackenloft.lab.client_try import ClientTry
from brackenloft.lab.customers import Customer
from brackenloft.lab.real.links import Wrong
from brackenloft.standins.peer import resp

KEY_SPACE = 1 << 64


def command(ask: ClientTry, wait_ms: float, width: int) -> bytes:
    """A try as a client writes it."""
    kind, customer = ask.kind, ask.customer
    key = f"k={keyed(customer, ask.first_at)}," if kind.effect is api.Effect.KEYED else ""
    listed = (
        f"c={kind.name},t={customer.plan.name},d={max(1, int(wait_ms))},{key}units={kind.units:g},"
        f"spread={width},first={customer.first}"
    )
    words = [f"{customer.number:016x}", f"{int(ask.name[1:]):016x}", listed]
    return resp("CALL.GET", *words) if kind.effect is api.Effect.SAFE else resp("CALL.POST", *words, b"body")


def keyed(customer: Customer, first_at: float) -> str:
    """The key of a wish: the same for all its tries, and for no other."""
    return f"{(customer.number << 40 | round(first_at * 1000.0)) % KEY_SPACE:016x}"


def understood(answer: Any) -> tuple[str, float]:
    """An answer in one word, and the advice of a refusal in milliseconds."""
    if isinstance(answer, bytes):
        return "served", 0.0
    if isinstance(answer, Wrong) and str(answer).startswith("BUSY"):
        advice = str(answer)[4:].strip()
        return "refused", float(advice) if advice.isdecimal() else 0.0
    return "failed", 0.0
