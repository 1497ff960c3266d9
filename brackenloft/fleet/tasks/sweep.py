"""Sweeping the shared counter: fields of gateways' runs that have ended are taken out, by one for all.

A run has ended once its beat has not grown for ``ended_ms``. How long each has stood still goes into the
checkpoint, so that the next holder counts on from there. The counter keeps the largest token beside its
figures and refuses a smaller one.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

import msgspec
import redis.asyncio as redis

from brackenloft.fleet.leases.fence import fenced
from brackenloft.fleet.tasks.runner import Run
from brackenloft.quota.client import KEEP_MS, Where
from brackenloft.quota.model import MOST_FIELDS, NonsenseError, beats_of

MOST_AGES = 100  # runs that stand still, in a checkpoint of 4 kB: those that do so longest
PAGE = 200  # customers looked at in one trip
MOST_PAGES = 5000  # in one run: a million customers


class Standing(msgspec.Struct):
    """A checkpoint: of each run that stands still its beat and for how long; how far the sweep has come."""

    still: dict[str, tuple[int, int]] = {}
    cursor: int = 0


@dataclass(slots=True)
class Ages:
    """For how long each run has stood still, at least. Pure; ``now`` in milliseconds."""

    ended_ms: float
    still: dict[str, tuple[int, float]] = field(default_factory=dict)  # beat, and since when
    at: float = 0.0

    @classmethod
    def of(cls, ended_ms: float, standing: Standing, now: float) -> Ages:
        """Counted on from what the holder before saw; the time between the two counts as none."""
        return cls(ended_ms, {name: (beat, now - age) for name, (beat, age) in standing.still.items()}, now)

    def saw(self, beats: Mapping[str, int], now: float) -> None:
        """The beats as they are now. What grew, or is new, stands still from now on."""
        self.at = now
        self.still = {
            name: self.still[name] if name in self.still and self.still[name][0] == beat else (beat, now)
            for name, beat in beats.items()
        }

    def ended(self) -> frozenset[str]:
        """Those that have stood still for long enough."""
        return frozenset(name for name, (_, since) in self.still.items() if self.at - since >= self.ended_ms)

    def standing(self, cursor: int) -> Standing:
        """For the checkpoint, those that stand still longest first."""
        oldest = sorted(self.still.items(), key=lambda item: item[1][1])[:MOST_AGES]
        return Standing({name: (beat, int(self.at - since)) for name, (beat, since) in oldest}, cursor)


def fields_of(hash_: Mapping[bytes, bytes], ended: frozenset[str]) -> list[bytes]:
    """Those of a customer's hash that belong to runs that have ended."""
    if len(hash_) > MOST_FIELDS:
        raise NonsenseError(f"{len(hash_)} fields")
    return [name for name in hash_ if name.decode("latin-1") in ended]


class Sweep:
    """The job."""

    def __init__(
        self,
        where: Where,
        ended_ms: float = KEEP_MS,
        now: Callable[[], float] = lambda: time.monotonic() * 1000.0,
    ) -> None:
        self.where, self.ended_ms, self.now = where, ended_ms, now
        wait_s = where.timeout_ms / 1000.0
        more: dict[str, Any] = {"ssl_ca_certs": where.ca} if where.ca else {}
        self.client = redis.Redis.from_url(
            where.url, **more, protocol=2, socket_timeout=wait_s, socket_connect_timeout=wait_s, retry=None
        )
        self.ages: Ages | None = None
        self.token = 0
        self.taken_out = 0

    async def close(self) -> None:
        """Speak to the counter no more."""
        await self.client.aclose()

    async def run(self, run: Run) -> None:
        """One sweep, from where the last one stopped."""
        standing = msgspec.json.decode(run.checkpoint, type=Standing) if run.checkpoint else Standing()
        if self.ages is None or self.token != run.act.token:
            self.ages, self.token = Ages.of(self.ended_ms, standing, self.now()), run.act.token
        prefix = self.where.prefix
        run.act.check()
        table: Any = await self.client.hgetall(f"{prefix}:gateways")
        self.ages.saw({each.field().decode(): beat for each, beat in beats_of(table).items()}, self.now())
        ended, cursor = self.ages.ended(), standing.cursor
        for _ in range(MOST_PAGES if ended else 0):
            run.act.check()
            cursor = await self._page(run, cursor, ended)
            if cursor == 0:
                await self._take_out(run, [("HDEL", f"{prefix}:gateways", *sorted(ended))])
                break
        await run.save(msgspec.json.encode(self.ages.standing(cursor)).decode())

    async def _page(self, run: Run, cursor: int, ended: frozenset[str]) -> int:
        after, keys = await self.client.execute_command(  # type: ignore[no-untyped-call]
            "SCAN", cursor, "MATCH", f"{self.where.prefix}:c:*", "COUNT", PAGE
        )
        async with self.client.pipeline(transaction=False) as pipe:
            for key in keys:
                pipe.execute_command("HGETALL", key)
            hashes = await pipe.execute()
        gone = [
            ("HDEL", key, *names)
            for key, hash_ in zip(keys, hashes, strict=True)
            if (names := fields_of(hash_, ended))
        ]
        if gone:
            await self._take_out(run, gone)
        return int(after)

    async def _take_out(self, run: Run, commands: list[tuple[Any, ...]]) -> None:
        run.act.check()
        await fenced(self.client, f"{self.where.prefix}:sweep", run.act.token, commands)
        self.taken_out += sum(len(command) - 2 for command in commands)
