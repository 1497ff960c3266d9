"""Calls of an operator's command to control servers: what stands, publishing, and what each server knows.

An operator is no gateway: nothing is enrolled, and nothing counts as in force because of it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

import aiohttp

from brackenloft.configuration import codec
from brackenloft.configuration.builder import Builder, apply
from brackenloft.configuration.client_config import ControlServer
from brackenloft.configuration.codec import CodecError
from brackenloft.configuration.log import MOST_CHUNK_BUCKETS
from brackenloft.configuration.messages import (
    CHUNK_PATH,
    LONGEST_ANSWER_BYTES,
    LONGEST_REQUEST_BYTES,
    PUBLISH_PATH,
    RECORDS_PATH,
    STATUS_PATH,
    Busy,
    Changes,
    Chunk,
    ChunkAnswer,
    ChunkRequest,
    FollowAnswer,
    PublishAnswer,
    PublishRequest,
    RecordsRequest,
    ServerStatus,
    SnapshotOffer,
    Unavailable,
    Unchanged,
)
from brackenloft.configuration.model import FIRST_REVISION, Record
from brackenloft.configuration.tree import DigestMismatch, Tree

CONNECT_TIMEOUT_S = 1.0
CALL_TIMEOUT_S = 5.0
PUBLISH_TIMEOUT_S = 15.0
MOST_STEPS = 2_000  # answers that are taken in, until what stands is reached
MOST_PAUSE_S = 2.0  # before a server that is busy is asked again
READ_BYTES = 64 * 1024
GOOD_STATUS = 200
REFUSED_STATUS = range(400, 500)  # the request was not carried out
HEADERS = {"Content-Type": "application/octet-stream"}


class CallFailed(Exception):  # noqa: N818
    """A control server gave no usable answer; ``sent``: the request may have been carried out."""

    def __init__(self, reason: str, sent: bool) -> None:
        super().__init__(reason)
        self.sent = sent


class NoServer(Exception):  # noqa: N818
    """None of the control servers gave a usable answer, and why."""

    def __init__(self, failures: Sequence[Unanswered]) -> None:
        super().__init__(", ".join(f"{failure.server} ({failure.reason})" for failure in failures))


class TooLong(ValueError):  # noqa: N818
    """A change is longer than control servers take."""


@dataclass(frozen=True, slots=True)
class Unanswered:
    """A control server that gave no usable answer."""

    server: str
    region: str
    reason: str


@dataclass(frozen=True, slots=True)
class Document:
    """The document that stands, as one control server knows it."""

    revision: int
    tree: Tree


class OperatorClient:
    """Calls to the control servers of a file. Use it as a context manager within a running loop."""

    def __init__(self, servers: Sequence[ControlServer]) -> None:
        self._servers = servers
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> OperatorClient:
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)
        self._session = aiohttp.ClientSession(
            timeout=timeout, cookie_jar=aiohttp.DummyCookieJar(), auto_decompress=False
        )
        return self

    async def __aexit__(self, *_: object) -> None:
        if self._session:
            await self._session.close()

    # ---- What operators ask for

    async def standing(self) -> Document:
        """The document that stands, from the first server that tells it whole. NoServer if none does."""
        failures = []
        for server in self._servers:
            try:
                return await self._standing_of(server)
            except CallFailed as error:
                failures.append(Unanswered(server.name, server.region, str(error)))
        raise NoServer(failures)

    async def publish(self, request: PublishRequest) -> PublishAnswer:
        """Have a change published by the first server that can; NoServer if none could be reached.

        A server that is unavailable before anything could stand is passed over. Once a request was sent and
        not answered no other server is asked, as the change may stand. TooLong for a change that none takes.
        """
        body = codec.encode(request)
        if len(body) > codec.most_encoded_bytes(LONGEST_REQUEST_BYTES):
            raise TooLong(f"the change has {len(body)} bytes: publish it in parts")
        failures = []
        unavailable: Unavailable | None = None
        for server in self._servers:
            try:
                answer: PublishAnswer = await self._call(
                    server, PUBLISH_PATH, request, PublishAnswer, PUBLISH_TIMEOUT_S
                )
            except CallFailed as error:
                if error.sent:
                    return Unavailable(f"{server.name}: {error}", may_stand=True)
                failures.append(Unanswered(server.name, server.region, str(error)))
                continue
            if not isinstance(answer, Unavailable) or answer.may_stand:
                return answer
            unavailable = answer
        if unavailable:
            return unavailable
        raise NoServer(failures)

    async def statuses(self) -> tuple[list[ServerStatus], list[Unanswered]]:
        """What each server knows, asked at once; and those that told nothing."""
        found = await asyncio.gather(*(self._status_of(server) for server in self._servers))
        told = [status for status in found if isinstance(status, ServerStatus)]
        return told, [failure for failure in found if isinstance(failure, Unanswered)]

    # ---- One server

    async def _status_of(self, server: ControlServer) -> ServerStatus | Unanswered:
        try:
            status: ServerStatus = await self._call(server, STATUS_PATH, None, ServerStatus, CALL_TIMEOUT_S)
        except CallFailed as error:
            return Unanswered(server.name, server.region, str(error))
        return status

    async def _standing_of(self, server: ControlServer) -> Document:
        document = Document(FIRST_REVISION, Tree.empty())
        for _ in range(MOST_STEPS):
            request = RecordsRequest(document.revision, document.tree.digest)
            answer = await self._call(server, RECORDS_PATH, request, FollowAnswer, CALL_TIMEOUT_S)
            try:
                if isinstance(answer, Unchanged):
                    return document
                if isinstance(answer, Changes):
                    document = _after(document, answer.records)
                elif isinstance(answer, SnapshotOffer):
                    document = await self._snapshot(server, document, answer)
                elif isinstance(answer, Busy):
                    await _pause(answer)
            except (DigestMismatch, ValueError) as error:
                raise CallFailed(str(error), sent=True) from error
        raise CallFailed(f"did not reach what stands within {MOST_STEPS} answers", sent=True)

    async def _snapshot(self, server: ControlServer, document: Document, offer: SnapshotOffer) -> Document:
        """The document that is offered; the old one if it is no longer to be had."""
        wanted = document.tree.differing(offer.buckets)
        builder = Builder(document.tree)
        for first in range(0, len(wanted), MOST_CHUNK_BUCKETS):
            indices = wanted[first : first + MOST_CHUNK_BUCKETS]
            chunk = await self._chunk(server, ChunkRequest(offer.revision, indices))
            if chunk is None:
                return document
            for index, data in zip(indices, chunk.buckets, strict=True):
                builder.load_bucket(index, data, offer.buckets[index])
        return Document(offer.revision, builder.finish(offer.digest))

    async def _chunk(self, server: ControlServer, request: ChunkRequest) -> Chunk | None:
        for _ in range(MOST_STEPS):
            answer = await self._call(server, CHUNK_PATH, request, ChunkAnswer, CALL_TIMEOUT_S)
            if isinstance(answer, Chunk):
                return answer
            if not isinstance(answer, Busy):
                return None
            await _pause(answer)
        raise CallFailed("busy for too long", sent=True)

    async def _call(
        self, server: ControlServer, path: str, message: object, kind: Any, timeout_s: float
    ) -> Any:
        """Post a message, or get where there is none, and read the answer. CallFailed without one."""
        try:
            async with asyncio.timeout(timeout_s):
                body = await self._exchange(server.url.rstrip("/") + path, message)
        except TimeoutError as error:
            raise CallFailed(f"no answer within {timeout_s:g} s", sent=True) from error
        except aiohttp.ClientConnectorError as error:
            raise CallFailed(str(error), sent=False) from error
        except (aiohttp.ClientError, OSError, ValueError) as error:
            raise CallFailed(f"{type(error).__name__} {error}".strip(), sent=True) from error
        try:
            return codec.decode(body, kind)
        except CodecError as error:
            raise CallFailed(str(error), sent=True) from error

    async def _exchange(self, url: str, message: object) -> bytes:
        assert self._session
        method, data = ("GET", None) if message is None else ("POST", codec.encode(message))
        most_bytes = codec.most_encoded_bytes(LONGEST_ANSWER_BYTES)
        async with self._session.request(
            method, url, data=data, headers=HEADERS, allow_redirects=False
        ) as response:
            if response.status != GOOD_STATUS:
                raise CallFailed(f"status {response.status}", response.status not in REFUSED_STATUS)
            parts, size = [], 0
            while part := await response.content.read(READ_BYTES):
                parts.append(part)
                size += len(part)
                if size > most_bytes:
                    response.close()
                    raise CallFailed(f"an answer of more than {most_bytes} bytes", sent=True)
            return b"".join(parts)


def _after(document: Document, records: tuple[Record, ...]) -> Document:
    """The document after records. DigestMismatch or ValueError where they do not lead on from it."""
    for record in records:
        if record.revision != document.revision + 1:
            raise ValueError(f"revision {record.revision} after {document.revision}")
        tree = apply(document.tree, record.delta)
        if tree.digest != record.digest:
            raise DigestMismatch(f"revision {record.revision} does not have its digest")
        document = Document(record.revision, tree)
    return document


async def _pause(answer: Busy) -> None:
    await asyncio.sleep(min(max(answer.retry_after_ms / 1000.0, 0.0), MOST_PAUSE_S))
