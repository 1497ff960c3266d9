"""Requests and values of a run. A request's id says how long the value is that a server answers it with."""

from __future__ import annotations

from enum import IntEnum, StrEnum

from brackenloft.standins.peer import resp

VALUE_BYTES = (30, 20_000, 150_000, 700_000, 4 * 1024 * 1024)
SIZE_SHIFT, ORIGIN_SHIFT = 56, 48  # bits of an id: the index of its value's size, who asks, a number


class Origin(IntEnum):
    """Who asks."""

    SOUND = 1
    BAD = 2


class Effect(StrEnum):
    """Classes of requests, by their name in the settings of the soak."""

    SAFE = "read"
    KEYED = "post"
    UNSAFE = "buy"


def request_id(origin: Origin, size_index: int, number: int) -> int:
    """The id of a request that is answered with a value of ``VALUE_BYTES[size_index]`` bytes."""
    return size_index << SIZE_SHIFT | origin << ORIGIN_SHIFT | number


def origin_of(identity: int) -> int:
    """Who asked."""
    return identity >> ORIGIN_SHIFT & 0xFF


def value_of(identity: int) -> bytes:
    """The value that is made for this request and no other."""
    mark = b"%016x" % identity
    size = VALUE_BYTES[identity >> SIZE_SHIFT]
    return (mark * (size // len(mark) + 1))[:size]


def command(identity: int, effect: Effect, wait_s: float, body: bytes = b"body") -> bytes:
    """A request as a client writes it."""
    key = f"k={identity:016x}," if effect is Effect.KEYED else ""
    listed = f"c={effect},t=free,d={round(wait_s * 1000.0)},{key}units=1,spread=1,first=0"
    words = [f"{identity % 1000:016x}", f"{identity:016x}", listed]
    return resp("CALL.GET", *words) if effect is Effect.SAFE else resp("CALL.POST", *words, body)
