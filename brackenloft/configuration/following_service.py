"""What a control server answers gateways: long polls, buckets of snapshots, farewells."""

from __future__ import annotations

import asyncio
import contextlib
import random
import re
from collections.abc import Callable

from brackenloft.configuration import codec
from brackenloft.configuration.admission import SnapshotAdmission
from brackenloft.configuration.answers import Chunks, FollowAnswers
from brackenloft.configuration.enrolment import Enrolment
from brackenloft.configuration.figures import Figures
from brackenloft.configuration.messages import (
    Busy,
    Changes,
    ChunkRequest,
    Follower,
    FollowRequest,
    SnapshotOffer,
    Unchanged,
)
from brackenloft.configuration.replica import Replica
from brackenloft.configuration.roster import RosterFullError
from brackenloft.configuration.server_config import Bounds
from brackenloft.configuration.standing_reader import StandingReader
from brackenloft.configuration.tree import DIGEST_BYTES

NAME = re.compile(r"[0-9A-Za-z._:-]{1,128}")
PLACE = re.compile(r"[0-9A-Za-z._:-]{0,64}")  # a region or a zone
MOST_REVISION = 2**62
MOST_WAIT_MS = 60_000
FIRST_READ_WITHIN_S = 0.8  # within the time that a client gives its first call
RETRY_MS = 500.0  # for a follower that could not be answered now; with full jitter above half of it


class BadRequest(ValueError):  # noqa: N818
    """A message that no gateway sends."""


class FollowingService:
    """Answers followers from the replica."""

    def __init__(
        self,
        replica: Replica,
        enrolment: Enrolment,
        reader: StandingReader,
        bounds: Bounds,
        figures: Figures,
        clock_ms: Callable[[], float],
        dice: random.Random,
    ) -> None:
        self._replica, self._enrolment = replica, enrolment
        self._reader, self._bounds, self._figures = reader, bounds, figures
        self._clock_ms, self._dice = clock_ms, dice
        self._admission = SnapshotAdmission(bounds.snapshots_per_s, bounds.snapshot_burst)
        self._answers = FollowAnswers()
        self._chunks = Chunks(lambda: replica.trees)
        self.waiting = 0

    async def follow(self, request: FollowRequest) -> bytes:
        """The answer to a long poll. BadRequest for one that no gateway makes."""
        check(request)
        try:
            self._enrolment.confirm(request.follower, request.in_force)
        except RosterFullError:
            return self._busy("roster_full")
        answer = self._answer(request)
        if isinstance(answer, Unchanged) and request.in_force:
            self._begin_enrolment(request.follower)
        elif not await self._enrolled(request.follower):
            return self._busy("not_enrolled")
        else:
            answer = self._answer(request)
        if isinstance(answer, Unchanged) and request.wait_ms > 0:
            if self.waiting >= self._bounds.waiting:
                return self._busy("too_many_waiting")
            await self._wait(request)
            answer = self._answer(request)
            if not isinstance(answer, Unchanged) and not await self._enrolled(request.follower):
                return self._busy("not_enrolled")
        return self._encode(request, answer)

    def _answer(self, request: FollowRequest) -> Unchanged | Changes | SnapshotOffer:
        return self._replica.answer(request, self._clock_ms())

    def _begin_enrolment(self, follower: Follower) -> None:
        """A run that has a revision in force was enrolled by another server, so that it need not wait."""
        if not self._enrolment.is_done(follower):
            self._enrolment.begin(follower)

    async def _enrolled(self, follower: Follower) -> bool:
        """Whether the run is known to enough servers, and what stands was read after that if it is new here.

        Guards against a status that did not count the run and was true before its first answer alone.
        """
        if self._enrolment.is_done(follower):
            return True
        if not await self._enrolment.ensure(follower):
            return False
        return await self._reader.read_since(self._clock_ms(), FIRST_READ_WITHIN_S)

    async def _wait(self, request: FollowRequest) -> None:
        self.waiting += 1
        try:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(min(request.wait_ms, MOST_WAIT_MS) / 1000.0):
                    await self._replica.wait_beyond(request.in_force)
        finally:
            self.waiting -= 1

    def _encode(self, request: FollowRequest, answer: Unchanged | Changes | SnapshotOffer) -> bytes:
        if isinstance(answer, SnapshotOffer):
            busy = self._admission.admit(self._clock_ms(), self._dice.random())
            if busy:
                self._figures.answers.labels("busy_snapshots").inc()
                return codec.encode(busy)
        self._figures.answers.labels(type(answer).__name__.lower()).inc()
        return self._answers.encode(request.in_force, answer)

    def _busy(self, reason: str) -> bytes:
        self._figures.answers.labels("busy_" + reason).inc()
        return codec.encode(Busy(RETRY_MS * (1.0 + self._dice.random()) / 2.0))

    async def chunk(self, request: ChunkRequest) -> bytes:
        """Buckets of a revision. UnknownBucket for a request that no gateway makes."""
        body = await self._chunks.answer(request)
        self._figures.answers.labels("chunk").inc()
        self._figures.chunk_bytes.inc(len(body))
        return body

    async def leave(self, follower: Follower) -> None:
        """A run ended. BadRequest, OSError, RosterFullError."""
        check_follower(follower)
        await self._enrolment.leave(follower)


def check(request: FollowRequest) -> None:
    """BadRequest unless a gateway could have made this request."""
    check_follower(request.follower)
    if not 0 <= request.in_force <= MOST_REVISION:
        raise BadRequest(f"in_force: {request.in_force} is no revision")
    if len(request.digest) != DIGEST_BYTES:
        raise BadRequest(f"digest: {len(request.digest)} bytes")


def check_follower(follower: Follower) -> None:
    """BadRequest unless these could be names of a gateway, a run and a place."""
    if not NAME.fullmatch(follower.gateway) or not NAME.fullmatch(follower.run):
        raise BadRequest(f"gateway or run: {follower.gateway!r:.80}, {follower.run!r:.80}")
    if not PLACE.fullmatch(follower.region) or not PLACE.fullmatch(follower.zone):
        raise BadRequest(f"region or zone: {follower.region!r:.80}, {follower.zone!r:.80}")
    if not 0 <= follower.incarnation <= MOST_REVISION:
        raise BadRequest(f"incarnation: {follower.incarnation}")
