"""Items that come one by one and are carried out together: as many as wait, one group at a time."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Generic, TypeVar

Item = TypeVar("Item")


class Grouped(Generic[Item]):
    """``carry_out`` is called with all items that wait, ``most`` at once; never twice at the same time."""

    def __init__(self, carry_out: Callable[[tuple[Item, ...]], Awaitable[None]], most: int) -> None:
        self._carry_out, self._most = carry_out, most
        self._waiting: list[tuple[Item, asyncio.Future[None]]] = []
        self._task: asyncio.Task[None] | None = None

    async def add(self, item: Item) -> None:
        """Returns when the item's group is carried out; raises what ``carry_out`` raised for that group."""
        done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.append((item, done))
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._run())
        await done

    async def _run(self) -> None:
        while self._waiting:
            group, self._waiting = self._waiting[: self._most], self._waiting[self._most :]
            failure: Exception | None = None
            try:
                await self._carry_out(tuple(item for item, _ in group))
            except Exception as error:
                failure = error
            for _, done in group:
                if done.done():  # nobody waits any more
                    continue
                if failure:
                    done.set_exception(failure)
                else:
                    done.set_result(None)

    async def finish(self) -> None:
        """Wait until nothing is under way."""
        if self._task:
            await asyncio.gather(self._task, return_exceptions=True)

    async def cancel(self) -> None:
        """Give up what is under way and what waits."""
        if self._task:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        for _, done in self._waiting:
            done.cancel()
        self._waiting = []
