"""A control server for tests of operators' commands: what it is asked, and answers that can be replaced."""

from __future__ import annotations

import asyncio
import threading
from collections.abc import Callable

from aiohttp import web

from brackenloft.configuration import codec
from brackenloft.configuration.builder import apply
from brackenloft.configuration.log import Log, RecentTrees, follow_answer
from brackenloft.configuration.messages import (
    CHUNK_PATH,
    PUBLISH_PATH,
    RECORDS_PATH,
    STATUS_PATH,
    ChunkRequest,
    Confirmation,
    Conflict,
    Follower,
    FollowRequest,
    Invalid,
    Published,
    PublishRequest,
    RecordsRequest,
    ServerStatus,
)
from brackenloft.configuration.model import Delta, Record
from brackenloft.configuration.tree import Tree
from brackenloft.configuration.validation import faults

OPERATOR = Follower("operator", "", 0, "")


class OperatorFake:
    """One control server, by itself, in a thread with a loop of its own.

    ``replies``: by path, what is done instead of answering: it is given the body and returns a response.
    """

    def __init__(self, name: str = "c0", region: str = "north", **bounds: int) -> None:
        self.name, self.region = name, region
        self.log, self.tree, self.recent = Log(**bounds), Tree.empty(), RecentTrees()
        self.recent.add(0, self.tree)
        self.confirmations: tuple[Confirmation, ...] = ()
        self.verified_ms, self.complete = 5.0, True
        self.requests: list[tuple[str, object]] = []
        self.replies: dict[str, Callable[[bytes], web.StreamResponse]] = {}
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)

    # ---- Life

    def __enter__(self):
        self.thread.start()
        self.port = asyncio.run_coroutine_threadsafe(self._open(), self.loop).result(20)
        return self

    def __exit__(self, *_):
        asyncio.run_coroutine_threadsafe(self.runner.cleanup(), self.loop).result(20)
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(20)
        self.loop.close()

    async def _open(self) -> int:
        app = web.Application(client_max_size=2**24)
        app.router.add_route("*", "/{path:.*}", self._take)
        self.runner = web.AppRunner(app, shutdown_timeout=1.0)
        await self.runner.setup()
        site = web.TCPSite(self.runner, "127.0.0.1", 0)
        await site.start()
        return self.runner.addresses[0][1]

    # ---- State

    def publish(self, delta: Delta) -> Record:
        self.tree = apply(self.tree, delta)
        record = Record(delta.base + 1, self.tree.digest, delta)
        self.log.append(record)
        self.recent.add(record.revision, self.tree)
        return record

    @property
    def revision(self) -> int:
        return self.log.newest.revision

    def paths(self) -> list[str]:
        return [path for path, _ in self.requests]

    # ---- Requests

    async def _take(self, request: web.Request) -> web.StreamResponse:
        body, path = await request.read(), request.path
        if path in self.replies:
            self.requests.append((path, None))
            return self.replies[path](body)
        answers = {RECORDS_PATH: self._records, CHUNK_PATH: self._chunk, PUBLISH_PATH: self._publish}
        if path == STATUS_PATH:
            self.requests.append((path, None))
            return reply(self.status())
        return reply(answers[path](body))

    def _read(self, path: str, body: bytes, kind):
        message = codec.decode(body, kind)
        self.requests.append((path, message))
        return message

    def _records(self, body: bytes):
        wanted = self._read(RECORDS_PATH, body, RecordsRequest)
        asked = FollowRequest(OPERATOR, wanted.after, wanted.digest)
        return follow_answer(self.log, self.tree, asked, self.verified_ms)

    def _chunk(self, body: bytes):
        return self.recent.answer(self._read(CHUNK_PATH, body, ChunkRequest))

    def _publish(self, body: bytes):
        delta = self._read(PUBLISH_PATH, body, PublishRequest).delta
        if delta.base != self.revision:
            return Conflict(delta.base, self.revision)
        if found := faults(self.tree, delta):
            return Invalid(found)
        record = self.publish(delta)
        return Published(record.revision, record.digest)

    def status(self) -> ServerStatus:
        return ServerStatus(
            self.name, self.region, self.revision, self.verified_ms, self.confirmations, self.complete
        )


def reply(message: object) -> web.Response:
    return web.Response(body=codec.encode(message))


def confirmed(
    gateway: int, in_force: int, region: str = "north", silent_ms: float = 10.0, **more
) -> Confirmation:
    return Confirmation(Follower(f"g{gateway}", f"run{gateway}", 1, region), in_force, silent_ms, **more)
