"""An operator of a trial who asks all the time, past the links, what stands and what is in force."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from contextlib import suppress
from typing import Any

import aiohttp

from brackenloft.configuration import codec
from brackenloft.configuration.messages import (
    PUBLISH_PATH,
    RECORDS_PATH,
    STATUS_PATH,
    Changes,
    Conflict,
    FollowAnswer,
    PublishAnswer,
    Published,
    PublishRequest,
    RecordsRequest,
    ServerStatus,
)
from brackenloft.configuration.model import FIRST_REVISION, Delta
from brackenloft.configuration.roster import Progress, View, progress
from brackenloft.configuration.tree import Tree
from brackenloft.lab.configuration.events import (
    CutOff,
    EventWriter,
    PublishAnswered,
    PublishAsked,
    RecordRead,
    StatusTold,
    now_ms,
)

EVERY_S = 0.1
ANSWER_S = 0.7  # of a server that is stopped or gone
PUBLISH_S = 6.0
CUT_OFF_AFTER_MS = 1500.0  # sooner than in operation, so that a short trial has some
GONE_AFTER_MS = 2500.0  # of a run whose gateway was started again: it was killed, and is not merely stopped


class Observer:
    """Asks the control servers for their records and their words on what is in force."""

    def __init__(
        self, urls: Callable[[], dict[str, str]], copies: int, seed: int, writer: EventWriter
    ) -> None:
        self.urls, self.copies, self.writer = urls, copies, writer
        self.dice = random.Random(seed)
        self.newest: dict[str, tuple[int, bytes]] = {}  # of each server: what was read last
        self.everywhere = FIRST_REVISION  # the newest revision that was told to be in force everywhere
        self.standing = FIRST_REVISION
        self.published = 0  # by ``publish``
        self.told = 0

    async def run(self) -> None:
        """Until it is cancelled."""
        async with aiohttp.ClientSession() as session:
            while True:
                await asyncio.gather(
                    *(self._records(session, name, url) for name, url in self.urls().items())
                )
                await self._status(session)
                await asyncio.sleep(EVERY_S)

    async def _ask(self, session: aiohttp.ClientSession, url: str, message: object, kind: Any) -> Any:
        """The answer; None if there is none in time."""
        with suppress(aiohttp.ClientError, OSError, TimeoutError, codec.CodecError):
            async with asyncio.timeout(ANSWER_S), session.post(url, data=codec.encode(message)) as response:
                return codec.decode(await response.read(), kind)
        return None

    # ---- Records

    async def _records(self, session: aiohttp.ClientSession, name: str, url: str) -> None:
        after, digest = self.newest.get(name, (FIRST_REVISION, Tree.empty().digest))
        answer = await self._ask(session, url + RECORDS_PATH, RecordsRequest(after, digest), FollowAnswer)
        if isinstance(answer, Changes):
            for record in answer.records:
                self.writer.write(RecordRead(now_ms(), name, record))
                self.newest[name] = record.revision, record.digest

    # ---- Status

    async def _status(self, session: aiohttp.ClientSession) -> None:
        """What the servers say together; now and then of only some of them."""
        urls = list(self.urls().values())
        if self.dice.random() < 0.3:
            urls = self.dice.sample(urls, self.dice.randint(1, len(urls)))
        asked_ms = now_ms()
        words = await asyncio.gather(*(self._server_status(session, url) for url in urls))
        view = View.of_all(status for status in words if status)
        servers = len(self.urls())
        for revision in {view.standing, max(FIRST_REVISION, view.standing - 1)}:
            self._tell(
                asked_ms, progress(view, revision, servers, self.copies, CUT_OFF_AFTER_MS, GONE_AFTER_MS)
            )

    async def _server_status(self, session: aiohttp.ClientSession, url: str) -> ServerStatus | None:
        with suppress(aiohttp.ClientError, OSError, TimeoutError, codec.CodecError):
            async with asyncio.timeout(ANSWER_S), session.get(url + STATUS_PATH) as response:
                return codec.decode(await response.read(), ServerStatus)
        return None

    def _tell(self, asked_ms: float, found: Progress) -> None:
        """With too few servers it is not known which runs there are: nothing is told then."""
        self.standing = max(self.standing, found.revision if found.published else FIRST_REVISION)
        if found.servers_counted < found.servers_needed or not found.published:
            return
        at_ms = now_ms()
        rows = [(row.region, row.in_force, row.runs) for row in found.regions]
        rows.append(("", sum(row[1] for row in rows), sum(row[2] for row in rows)))
        cut_off = tuple(CutOff(run.follower.run, run.in_force) for run in found.cut_off)
        for region, confirmed, known in rows:
            everywhere = found.everywhere if not region else False
            told = StatusTold(asked_ms, at_ms, found.revision, region, confirmed, known, everywhere, cut_off)
            self.writer.write(told)
            self.told += 1
        if found.everywhere:
            self.everywhere = max(self.everywhere, found.revision)

    # ---- A last change

    async def publish(self, make: Callable[[int, str], Delta]) -> Published | None:
        """Publish a change on what is known to stand; None if it was not answered so."""
        marker = f"m-observer-{self.published}"
        self.published += 1
        delta = make(self.standing, marker)
        self.writer.write(PublishAsked(now_ms(), marker, delta))
        url = self.dice.choice(list(self.urls().values())) + PUBLISH_PATH
        body = codec.encode(PublishRequest(delta, author="observer"))
        answer: PublishAnswer | None = None
        with suppress(aiohttp.ClientError, OSError, TimeoutError, codec.CodecError):
            async with (
                asyncio.timeout(PUBLISH_S),
                aiohttp.ClientSession() as session,
                session.post(url, data=body) as response,
            ):
                answer = codec.decode(await response.read(), PublishAnswer)
        if answer is None:
            return None
        kind, may_stand = type(answer).__name__, getattr(answer, "may_stand", False)
        revision, digest = getattr(answer, "revision", 0), getattr(answer, "digest", b"")
        self.writer.write(PublishAnswered(now_ms(), marker, kind, revision, digest, may_stand))
        if isinstance(answer, Conflict):
            self.standing = max(self.standing, answer.standing)
        return answer if isinstance(answer, Published) else None
