"""Effects at a place that speaks the Redis protocol: done only if no larger token has been there."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

import redis.asyncio as redis
from redis.exceptions import WatchError

MOST_RACES = 8  # times that another one wrote between our look and our write


class StaleToken(Exception):  # noqa: N818
    """The place has seen a larger token: whoever holds it acts now."""


class PlaceError(RuntimeError):
    """The place holds what no gateway writes, or is never free."""


async def fenced(
    client: redis.Redis,
    key: str,
    token: int,
    commands: Sequence[tuple[Any, ...]],
) -> list[object]:
    """Carry out the commands in one transaction with a look at the largest token so far, kept at ``key``."""
    for _ in range(MOST_RACES):
        async with client.pipeline(transaction=True) as pipe:
            try:
                await pipe.watch(key)
                largest: Any = await pipe.get(key)
                if largest is not None and not largest.isdigit():
                    raise PlaceError(f"{key}: no token: {largest[:40]!r}")
                if largest is not None and int(largest) > token:
                    raise StaleToken(f"{key}: {int(largest)} after {token}")
                pipe.multi()  # type: ignore[no-untyped-call]
                pipe.execute_command("SET", key, token)
                for command in commands:
                    pipe.execute_command(*command)
                answers: list[object] = await pipe.execute()
                return answers[1:]
            except WatchError:
                continue
    raise PlaceError(f"{key}: never free")
