"""The fields of a command that asks for work, read as strictly as the protocol's page has them."""

from __future__ import annotations

import re
from typing import Any

NEEDED = {
    "c": r".+",
    "t": r".+",
    "d": r"[0-9]+(\.[0-9]+)?",
    "units": r"[0-9]+(\.[0-9]+)?",
    "spread": r"[1-9][0-9]*",
    "first": r"[0-9]+",
}


def is_call(words: Any) -> bool:
    """Whether a command asks for work."""
    return isinstance(words, list) and bool(words) and words[0] in (b"CALL.GET", b"CALL.POST")


def call_fields(words: list[bytes]) -> dict[str, str] | None:
    """The list of names and values, or None where the command is not of the protocol's form."""
    if len(words) != (5 if words[0] == b"CALL.POST" else 4) or not re.fullmatch(b"[0-9a-fA-F]{16}", words[1]):
        return None
    try:
        pairs = [part.partition("=") for part in words[3].decode("ascii").split(",")]
    except UnicodeDecodeError:
        return None
    fields = {name: value for name, _, value in pairs}
    good = len(fields) == len(pairs) and all(
        re.fullmatch(form, fields.get(name, "")) for name, form in NEEDED.items()
    )
    return fields if good and re.fullmatch(b"[0-9A-Za-z]{1,64}", words[2]) else None
