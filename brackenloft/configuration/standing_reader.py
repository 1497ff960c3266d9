"""Reads the register at a steady pace, and at once when asked, and keeps the replica at what stands."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable

from brackenloft.configuration.catching_up import BehindError, CatchingUp
from brackenloft.configuration.replica import Replica
from brackenloft.configuration.standing_register import RegisterUnavailable, StandingRegister
from brackenloft.fleet.logs import logger

log = logger(__name__)


class StandingReader:
    """The one place that reads the register."""

    def __init__(
        self,
        register: StandingRegister,
        catching_up: CatchingUp,
        replica: Replica,
        poll_s: float,
        clock_ms: Callable[[], float],
    ) -> None:
        self._register, self._catching_up, self._replica = register, catching_up, replica
        self._poll_s, self._clock_ms = poll_s, clock_ms
        self._wanted = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self.reason = "the register has not been read yet"  # why what stands isn't known; empty if it is
        self.failures = 0

    def start(self) -> None:
        """From now on."""
        self._task = asyncio.create_task(self._run())

    def hint(self) -> None:
        """Something may have changed: read at once."""
        self._wanted.set()

    async def read_since(self, since_ms: float, within_s: float) -> bool:
        """Whether what stands was read, by a question asked at this time or later, and is held here."""
        self.hint()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(within_s):
                await self._replica.wait_verified(since_ms)
                return True
        return False

    async def _run(self) -> None:
        while True:
            self._wanted.clear()
            try:
                await self._read()
            except (RegisterUnavailable, BehindError) as error:
                self._failed(str(error))
            except Exception as error:  # a fault of this process must not end it
                log.exception("reading the register failed")
                self._failed(f"{type(error).__name__}: {error}")
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._poll_s):
                    await self._wanted.wait()

    async def _read(self) -> None:
        asked_ms = self._clock_ms()
        before = self._replica.standing
        target = await self._register.read()
        if target.revision < before.revision:
            raise RegisterUnavailable(
                f"the register went back: it says revision {target.revision}, {before.revision} stood"
            )
        await self._catching_up.reach(target)
        self._replica.verify(asked_ms)
        if self.reason:
            log.info("what stands is known", revision=target.revision)
        self.reason = ""

    def _failed(self, reason: str) -> None:
        self.failures += 1
        if not self.reason:
            log.warning("what stands is not known", reason=reason)
        self.reason = reason

    async def close(self) -> None:
        """Read no more."""
        if self._task:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
