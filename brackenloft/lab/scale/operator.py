"""The operators of a scale run: one that publishes, one that asks how far it is; both write a history."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Collection, Sequence
from pathlib import Path

from brackenloft.configuration.client_config import ControlServer
from brackenloft.configuration.messages import (
    Confirmation,
    Conflict,
    PublishAnswer,
    Published,
    PublishRequest,
    Unavailable,
)
from brackenloft.configuration.model import FIRST_REVISION, Delta, Record
from brackenloft.configuration.operator_client import NoServer, OperatorClient
from brackenloft.configuration.roster import View, serving
from brackenloft.configuration.status_report import Report, ServerReport, report
from brackenloft.lab.configuration.events import (
    CutOff,
    EventWriter,
    PublishAnswered,
    PublishAsked,
    RecordRead,
    StatusTold,
    now_ms,
)
from brackenloft.lab.scale.changes import Document

PUBLISH_WITHIN_S, RETRY_S = 60.0, 0.2
MOST_SHOWN = 500  # characters of a refusal
Change = Callable[[int, str], Delta]


class Operator:
    """Publishes one change after the other, and asks for their status."""

    def __init__(
        self, servers: Sequence[ControlServer], document: Document, history: Path, watched: Collection[str]
    ) -> None:
        self.servers, self.document, self.watched = servers, document, frozenset(watched)
        self.writer = EventWriter(history)
        self.revision = FIRST_REVISION
        self.tries = 0
        self.mismatched = 0  # digests that were published and are not those of the change made here

    async def publish(self, change: Change) -> int:
        """Have a change stand; its revision. TimeoutError if that takes too long.

        This is the only publisher: a conflict with its own earlier try says that that one stands.
        """
        base, marker = self.revision, f"m{self.revision + 1}"
        delta = change(base, marker)
        digest = self.document.take(delta).digest
        self.writer.write(PublishAsked(now_ms(), marker, delta))
        async with asyncio.timeout(PUBLISH_WITHIN_S), OperatorClient(self.servers) as client:
            while not self._stands(await self._try(client, delta), base, digest):
                await asyncio.sleep(RETRY_S)
        self.revision = base + 1
        self.writer.write(PublishAnswered(now_ms(), marker, "Published", self.revision, digest))
        self.writer.write(RecordRead(now_ms(), "operator", Record(self.revision, digest, delta)))
        return self.revision

    async def _try(self, client: OperatorClient, delta: Delta) -> PublishAnswer:
        self.tries += 1
        try:
            return await client.publish(PublishRequest(delta, author="operator"))
        except NoServer as error:
            return Unavailable(str(error), may_stand=False)

    def _stands(self, answer: PublishAnswer, base: int, digest: bytes) -> bool:
        if isinstance(answer, Published):
            self.mismatched += answer.digest != digest
            return True
        if isinstance(answer, Conflict):
            return answer.standing == base + 1
        if isinstance(answer, Unavailable):
            return False
        raise RuntimeError(f"a change of the run was refused: {str(answer)[:MOST_SHOWN]}")

    async def status(self) -> Report:
        """How far the newest revision is, as an operator is told."""
        asked_ms = now_ms()
        async with OperatorClient(self.servers) as client:
            told, unanswered = await client.statuses()
        silent = [ServerReport(one.server, one.region, None, None, one.reason) for one in unanswered]
        found = report(told, silent, time.time())
        self._write(asked_ms, found, serving(View.of_all(told)))
        return found

    def _write(self, asked_ms: float, found: Report, runs: Sequence[Confirmation]) -> None:
        """Counts are of the gateways that write a history; what is told of all is told as it is."""
        watched = [run for run in runs if run.follower.gateway in self.watched]
        confirmed = sum(run.in_force >= found.revision for run in watched)
        cut_off = tuple(CutOff(one.run, one.revision) for one in found.behind if one.cut_off)
        told = StatusTold(
            asked_ms, now_ms(), found.revision, "", confirmed, len(watched), found.everywhere, cut_off
        )
        self.writer.write(told)

    async def watch(self, every_s: float) -> None:
        """Ask again and again, for ever."""
        while True:
            await asyncio.sleep(every_s)
            await self.status()
