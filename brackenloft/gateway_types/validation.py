"""Checks of fields when a type of the decision module's settings or events is made."""

from __future__ import annotations

from math import inf

NUMBERS = (float, int)  # and no bool, which is an int by inheritance


def check_numbers(owner: object, low: float, *names: str) -> None:
    """Raise ValueError for the first named field that is not a number of at least ``low``."""
    for name in names:
        value = getattr(owner, name)
        if type(value) not in NUMBERS or not low <= value < inf:
            raise ValueError(f"{type(owner).__name__}.{name}: {value!r} is not a number of at least {low}")


def refuse_if(wrong: bool, owner: object, name: str, reason: str) -> None:
    """Raise ValueError that names the field and its value."""
    if wrong:
        raise ValueError(f"{type(owner).__name__}.{name}: {getattr(owner, name)!r} {reason}")
