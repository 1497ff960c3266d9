"""Plays the two plain ways at the full number of gateways: delay, bytes, processor, holds of the loop."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from typing import Any

import msgspec
import redis.asyncio as redis

from brackenloft.lab.fleet.control import Helper
from brackenloft.lab.fleet.history import now_ms
from brackenloft.lab.scale.baselines import DOCUMENT_KEY, REVISION_KEY, document
from brackenloft.lab.scale.target import SECONDS_PER_DAY, TARGET
from brackenloft.lab.scale.verdict import percentile

MODULE = "brackenloft.lab.scale.baselines"
CHANGES, LONGEST_S, LOOK_S = 3, 120.0, 0.5
STORES = 3


class Baseline(msgspec.Struct, frozen=True):
    """What one plain way showed. ``bytes_s`` and ``cpu_percent`` are a gateway's, at the target's rate."""

    mode: str
    gateways: int
    changes: int
    in_force_s_p99: float | None
    in_force_s_worst: float | None
    bytes_s: float
    cpu_percent: float
    stall_ms_max: float


class PatientHelper(Helper):
    """One that is waited for while it decodes the documents of all its gateways, one after the other."""

    async def ask(self, **document: Any) -> dict[str, Any]:
        """As ``Helper``, with more time."""
        async with asyncio.timeout(LONGEST_S), self.turn:
            assert self.process and self.process.stdin
            self.process.stdin.write(msgspec.json.encode(document) + b"\n")
            return await self._line()


async def _started(stack: AsyncExitStack, *words: str) -> Helper:
    helper = PatientHelper(*words)
    await helper.start()
    stack.push_async_callback(helper.end)
    return helper


async def play(mode: str, gateways: int, processes: int, servers: int) -> Baseline:
    """One of ``whole`` and ``stores``."""
    async with AsyncExitStack() as stack:
        if mode == "whole":
            sources = [await _started(stack, MODULE, "server") for _ in range(servers)]
        else:
            sources = [await _started(stack, "brackenloft.lab.fleet.store") for _ in range(STORES)]
        ports = [source.hello["port"] for source in sources]
        shares = [gateways // processes + (number < gateways % processes) for number in range(processes)]
        pullers = [
            await _started(stack, MODULE, "pull", mode, str(share), *map(str, ports)) for share in shares
        ]
        data = document(TARGET.services, TARGET.routes, TARGET.tenants)
        times: list[float] = []
        before: list[dict[str, Any]] = []
        for revision in range(1, CHANGES + 2):
            if revision == 2:  # the first one is the start
                before = await asyncio.gather(*(each.ask(revision=1) for each in pullers))
            asked_ms = now_ms()
            await _publish(mode, sources, ports, revision, data)
            reached = await _all_reached(pullers, revision)
            if revision > 1:
                times += [(at_ms - asked_ms) / 1000.0 for at_ms in reached]
        after = await asyncio.gather(*(each.ask(revision=CHANGES + 1) for each in pullers))
    return _baseline(mode, gateways, times, before, after)


def _baseline(
    mode: str, gateways: int, times: list[float], before: list[dict[str, Any]], after: list[dict[str, Any]]
) -> Baseline:
    a_day = TARGET.changes_per_day / SECONDS_PER_DAY / CHANGES / gateways
    received = sum(b["received"] - a["received"] for a, b in zip(before, after, strict=True))
    cpu_s = sum(b["cpu_s"] - a["cpu_s"] for a, b in zip(before, after, strict=True))
    stall_ms = max(each["longest_ms"] for each in after)
    whole = len(times) == CHANGES * gateways
    return Baseline(
        mode, gateways, CHANGES, percentile(times, 0.99) if whole else None, max(times) if whole else None,
        round(received * a_day, 1), round(100.0 * cpu_s * a_day, 4), round(stall_ms, 1),
    )  # fmt: skip


async def _publish(mode: str, sources: list[Helper], ports: list[int], revision: int, data: bytes) -> None:
    if mode == "whole":
        await asyncio.gather(*(source.ask(do="publish") for source in sources))
        return
    for port in ports:
        client = redis.Redis(host="127.0.0.1", port=port, protocol=2)
        await client.set(DOCUMENT_KEY, data)
        await client.set(REVISION_KEY, revision)
        await client.aclose()


async def _all_reached(pullers: list[Helper], revision: int) -> list[float]:
    """When each gateway had it; fewer than all after the longest time."""
    ends_ms = now_ms() + LONGEST_S * 1000.0
    while True:
        answers = await asyncio.gather(*(each.ask(revision=revision) for each in pullers))
        reached = [at_ms for answer in answers for at_ms in answer["reached"]]
        if None not in reached or now_ms() > ends_ms:
            return [at_ms for at_ms in reached if at_ms is not None]
        await asyncio.sleep(LOOK_S)
