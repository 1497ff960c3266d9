"""A job for trials: it acts in small steps, stamps each, and sends effects to a place that compares tokens.

kind = "brackenloft.lab.fleet.exercise:Exercise"
option = '{"task": "t1", "place": "redis://127.0.0.1:7000", "history": "g0.jsonl"}'
"""

from __future__ import annotations

import asyncio
import os
from pathlib import Path

import msgspec
import redis.asyncio as redis
from redis.exceptions import RedisError

from brackenloft.fleet.leases.fence import PlaceError, StaleToken, fenced
from brackenloft.fleet.leases.lease import LeaseOver
from brackenloft.fleet.tasks.runner import Run
from brackenloft.lab.fleet.history import Writer, now_ms

PLACE_S = 0.5


class Option(msgspec.Struct, forbid_unknown_fields=True):
    """What it is told. ``poison``: it kills its process in its first step. ``fenced``: tokens count."""

    task: str
    place: str
    history: str
    steps: int = 20
    step_ms: float = 10.0
    poison: bool = False
    fenced: bool = True


class Exercise:
    """The job."""

    def __init__(self, option: str) -> None:
        self.option = msgspec.json.decode(option, type=Option)
        self.writer = Writer(Path(self.option.history))
        self.who = str(os.getpid())
        self.client = redis.Redis.from_url(
            self.option.place, protocol=2, socket_timeout=PLACE_S, socket_connect_timeout=PLACE_S, retry=None
        )
        self.runs = 0

    async def close(self) -> None:
        """The process ends."""
        await self.client.aclose()
        self.writer.close()

    async def run(self, run: Run) -> None:
        """Steps, each of them stamped before the lease is looked at, so that a stop between is no act."""
        self.runs += 1
        done = int(run.checkpoint or "0")
        for step in range(self.option.steps):
            at = now_ms()
            run.act.check()
            self.writer.write(
                "acts", at, task=self.option.task, who=self.who, token=run.act.token, run=self.runs
            )
            if self.option.poison:
                os.abort()
            if step % 5 == 0:
                await self._effect(run, f"{done}.{step}")
            await asyncio.sleep(self.option.step_ms / 1000.0)
        await run.save(str(done + 1))

    async def _effect(self, run: Run, text: str) -> None:
        place = f"place:{self.option.task}"
        command = ("SET", f"{place}:said", f"{run.act.token} {text}")
        try:
            if self.option.fenced:
                await fenced(self.client, place, run.act.token, [command])
            else:
                await self.client.execute_command("SET", place, run.act.token)  # type: ignore[no-untyped-call]
        except StaleToken:
            self.writer.write("stale", task=self.option.task, who=self.who, token=run.act.token)
            raise LeaseOver(self.option.task) from None
        except (RedisError, OSError, PlaceError):
            return  # the place is not to be had: what was sent may come there yet
