"""Carries out the faults of a schedule on the processes of a trial, and heals them."""

from __future__ import annotations

import asyncio
from collections import Counter, defaultdict
from collections.abc import Coroutine
from contextlib import suppress
from typing import Any, Protocol

from brackenloft.lab.configuration.events import Event, FaultBegan, now_ms
from brackenloft.lab.configuration.schedule import ON_LINKS, Fault, Schedule

RETRY_S = 0.01  # between two looks whether a process is there again


class Processes(Protocol):
    """What a nemesis may do to processes and links, by their names in the schedule."""

    async def set_links(self, links: tuple[str, ...], do: str, **more: Any) -> None:
        """Have links do something from now on."""

    async def stop(self, name: str) -> None:
        """SIGSTOP."""

    async def resume(self, name: str) -> None:
        """SIGCONT."""

    async def kill(self, name: str) -> None:
        """SIGKILL, and wait until it is gone; nothing to do for one that is."""

    async def start(self, name: str) -> None:
        """A new process in the place of one that was killed."""

    async def spoil(self, name: str, how: str) -> None:
        """Have a control server misbehave; an empty word has it behave again."""


class Nemesis:
    """Plays faults at their times; several may be under way."""

    def __init__(self, processes: Processes, write: Any) -> None:
        self.processes, self.write = processes, write
        self.counts: Counter[str] = Counter()
        self._down: Counter[str] = Counter()  # by process: kills that are under way
        self._changing: defaultdict[str, asyncio.Lock] = defaultdict(asyncio.Lock)  # by process
        self._stopped: Counter[str] = Counter()
        self._cut: Counter[str] = Counter()  # by link: faults that are under way
        self._tasks: set[asyncio.Task[None]] = set()

    async def play(self, schedule: Schedule, begin_ms: float) -> None:
        """All faults of a schedule; returns at its end, when the last has been healed."""
        for fault in sorted(schedule.faults, key=lambda one: one.at_ms):
            await asyncio.sleep(max(0.0, (begin_ms + fault.at_ms - now_ms()) / 1000.0))
            self._spawn(self._fault(fault))
        await asyncio.sleep(max(0.0, (begin_ms + schedule.length_ms - now_ms()) / 1000.0))
        while self._tasks:
            await asyncio.gather(*self._tasks)

    async def cancel(self) -> None:
        """Begin nothing more, and heal nothing."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _fault(self, fault: Fault) -> None:
        self.counts[fault.do] += 1
        self._tell(FaultBegan(now_ms(), f"{fault.do} {' '.join(fault.on[:6])} for {fault.for_ms:.0f} ms"))
        if fault.do in ON_LINKS:
            await self._links(fault)
        elif fault.do == "stop":
            await asyncio.gather(*(self._stop(name, fault.for_ms) for name in fault.on))
        elif fault.do == "kill":
            await asyncio.gather(*(self._kill(name, fault.for_ms) for name in fault.on))
        else:
            await asyncio.gather(*(self._spoil(name, fault) for name in fault.on))

    def _tell(self, event: Event) -> None:
        self.write(event)

    async def _links(self, fault: Fault) -> None:
        """A link is healed by the last of the faults that are under way on it."""
        more = {"ways": fault.ways, "ms": fault.delay_ms, "size_bytes": fault.size_bytes}
        self._cut.update(fault.on)
        await self.processes.set_links(fault.on, fault.do, **more)
        await asyncio.sleep(fault.for_ms / 1000.0)
        self._cut.subtract(fault.on)
        healed = tuple(link for link in fault.on if not self._cut[link])
        await self.processes.set_links(healed, "heal")

    async def _stop(self, name: str, for_ms: float) -> None:
        self._stopped[name] += 1
        if not self._down[name]:
            await self.processes.stop(name)
        await asyncio.sleep(for_ms / 1000.0)
        self._stopped[name] -= 1
        if not self._stopped[name] and not self._down[name]:
            await self.processes.resume(name)

    async def _kill(self, name: str, for_ms: float) -> None:
        """The last of several kills of a process starts it again."""
        async with self._changing[name]:
            self._down[name] += 1
            await self.processes.kill(name)
        await asyncio.sleep(for_ms / 1000.0)
        async with self._changing[name]:
            self._down[name] -= 1
            if not self._down[name]:
                await self.processes.start(name)

    async def _spoil(self, name: str, fault: Fault) -> None:
        """A process that is stopped or gone can't be told; one that was killed meanwhile behaves again."""
        if self._stopped[name] or self._down[name]:
            return
        await self._order(name, fault.do)
        await asyncio.sleep(fault.for_ms / 1000.0)
        while self._stopped[name] or self._down[name]:
            await asyncio.sleep(RETRY_S)
        await self._order(name, "")

    async def _order(self, name: str, how: str) -> None:
        async with self._changing[name]:
            if not self._down[name]:
                with suppress(RuntimeError):
                    await self.processes.spoil(name, how)
