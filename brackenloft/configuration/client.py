"""The control client of a gateway: long polls over HTTP, revisions put in force, a farewell at the end.

Decisions are made in ``following``; here they are carried out. Everything that a control server sends is
bounded and checked before it is used; whatever is wrong with it is counted, said once, and changes nothing.
"""

from __future__ import annotations

import asyncio
import logging
import random
import secrets
import time
from collections.abc import Callable
from typing import Any

import aiohttp

from brackenloft.configuration import codec
from brackenloft.configuration.applying import Applier, Listener, Slices, Target
from brackenloft.configuration.client_config import ClientConfig
from brackenloft.configuration.following import (
    ChunkCall,
    Endpoint,
    Failure,
    FollowCall,
    Following,
    Pause,
    Work,
)
from brackenloft.configuration.messages import (
    CHUNK_PATH,
    FOLLOW_PATH,
    LEAVE_PATH,
    LONGEST_ANSWER_BYTES,
    LONGEST_FOLLOW_ANSWER_BYTES,
    ChunkAnswer,
    FollowAnswer,
    Follower,
    Leave,
)
from brackenloft.configuration.tree import DigestMismatch, Tree

log = logging.getLogger(__name__)

OK = range(200, 300)
CONNECT_TIMEOUT_S = 1.0
LEAVE_TIMEOUT_S = 1.0  # for each server that is told
LEAVE_TRIES = 2  # servers that are told at the end, until one answers
CONNECTIONS = 2  # of one client: to the server that is followed, and to the next one
IDLE_S = 30.0  # after which an unused connection is closed
READ_BYTES = 64 * 1024  # at once, of an answer
THREAD_BYTES = 16 * 1024  # longer answers are read in a thread: inflating lets go of the interpreter
FAULT_PAUSE_S = 1.0  # after a fault of this process
CONTENT_TYPE = {"Content-Type": "application/octet-stream"}


class CallFailed(Exception):  # noqa: N818
    """A call to a control server brought no answer; ``failure`` says why."""

    def __init__(self, failure: Failure, reason: str) -> None:
        super().__init__(reason)
        self.failure = failure


def _monotonic_ms() -> float:
    return time.monotonic() * 1000.0


class ControlClient:
    """Follows the configuration from within a running loop.

    ``target``: what revisions are put in force in, or a callback that is told of each document in force.
    ``session``: shared by many clients of one process; without it the client opens and closes its own.
    """

    def __init__(
        self,
        config: ClientConfig,
        target: Target | Callable[[Tree], None],
        *,
        gateway: str = "",
        session: aiohttp.ClientSession | None = None,
        clock_ms: Callable[[], float] = _monotonic_ms,
        draw: Callable[[], float] = random.random,
        slices: Slices | None = None,
    ) -> None:
        name = gateway or config.gateway
        if not name:
            raise ValueError("gateway: has no name")
        self.config, self.clock_ms, self.draw = config, clock_ms, draw
        self.follower = Follower(name, secrets.token_hex(8), time.time_ns(), config.region, config.zone)
        self.applier = Applier(Listener(target) if callable(target) else target, slices=slices)
        endpoints = [Endpoint(server.name, server.region) for server in config.servers]
        self.core = Following(self.follower, endpoints, self.applier.position(), config.wait_ms)
        self.in_force_since_s: float | None = None  # Unix time; None: nothing was put in force yet
        self.swaps = 0
        self.received_bytes = self.sent_bytes = 0  # bodies
        self._urls = {server.name: server.url.rstrip("/") for server in config.servers}
        self._session, self._owns_session = session, session is None
        self._complained: set[tuple[str, Failure]] = set()
        self._task: asyncio.Task[None] | None = None

    # ---- Life

    def start(self) -> ControlClient:
        """Follow from now on."""
        if self._session is None:
            self._session = open_session()
        self._task = asyncio.get_running_loop().create_task(self._run())
        return self

    async def close(self, leave: bool = True) -> None:
        """Follow no more. ``leave``: tell a control server that this gateway serves no more."""
        if self._task:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
            self._task = None
        try:
            if leave and self._session:
                await self._leave()
        finally:
            if self._session and self._owns_session:
                await self._session.close()
                self._session = None

    @property
    def revision(self) -> int:
        """The revision in force; 0 before any is."""
        return self.core.in_force.revision

    def figures(self) -> dict[str, Any]:
        """What is in force, since when, who is followed and what failed."""
        core, slices = self.core, self.applier.slices
        verified_ms = self.clock_ms() - core.verified_at_ms
        return {
            "revision": core.in_force.revision,
            "digest": core.in_force.digest.hex(),
            "in_force_since_s": self.in_force_since_s,
            "swaps": self.swaps,
            "gateway": self.follower.gateway,
            "server": core.followed,
            "verified_ms_ago": round(verified_ms) if verified_ms < float("inf") else None,
            "failures": {failure.value: count for failure, count in core.failures.items()},
            "busy": core.busy,
            "late_answers": core.late,
            "answers_behind": core.behind,
            "received_bytes": self.received_bytes,
            "sent_bytes": self.sent_bytes,
            "slices": slices.count,
            "longest_slice_ms": round(slices.longest_ms, 3),
        }

    # ---- Following

    async def _run(self) -> None:
        while True:
            try:
                await self._once()
            except Exception:  # a fault of this process must not end it: what is in force stays
                log.exception("following the configuration failed")
                self.core.rejected(Failure.INTERNAL, self.clock_ms(), self.draw())
                await asyncio.sleep(FAULT_PAUSE_S)

    async def _once(self) -> None:
        """Wait until it is time, ask once, put in force what comes."""
        step = self.core.next_step(self.clock_ms())
        if isinstance(step, Pause):
            await asyncio.sleep(step.pause_ms / 1000.0)
            return
        try:
            answer = await self._ask(step)
        except CallFailed as error:
            self._complain(step.server, error.failure, str(error))
            self.core.failed(step.number, error.failure, self.clock_ms(), self.draw())
            return
        before = self.core.failures.copy()
        work = self.core.answered(step.number, answer, self.clock_ms(), self.draw())
        if work:
            await self._apply(step.server, work)
        failures = self.core.failures - before
        for failure in failures:
            self._complain(step.server, failure, type(answer).__name__)
        if not failures:
            self._settled(step.server)

    async def _apply(self, server: str, work: Work) -> None:
        try:
            position = await self.applier.apply(work)
        except DigestMismatch as error:
            self._reject(server, Failure.MISMATCH, error)
        except ValueError as error:
            self._reject(server, Failure.UNUSABLE, error)
        else:
            if position:
                self.core.put_in_force(position)
                self.in_force_since_s = time.time()
                self.swaps += 1
                log.info("configuration: revision %d is in force, from %s", position.revision, server)

    def _reject(self, server: str, failure: Failure, error: Exception) -> None:
        self._complain(server, failure, str(error))
        self.core.rejected(failure, self.clock_ms(), self.draw())

    def _complain(self, server: str, failure: Failure, reason: str) -> None:
        """Say what is wrong, each kind once until the server answers well. Bounds the log."""
        if (server, failure) not in self._complained:
            self._complained.add((server, failure))
            log.warning(
                "control server %s: %s: %.200s; revision %d stays in force",
                server, failure.value, reason, self.revision,
            )  # fmt: skip

    def _settled(self, server: str) -> None:
        before = len(self._complained)
        self._complained = {entry for entry in self._complained if entry[0] != server}
        if len(self._complained) < before:
            log.info("control server %s answers again", server)

    # ---- Calls

    async def _ask(self, call: FollowCall | ChunkCall) -> Any:
        """The answer, of the type that belongs to the call; CallFailed if there is none."""
        if isinstance(call, ChunkCall):
            path, kind, longest_bytes = CHUNK_PATH, ChunkAnswer, LONGEST_ANSWER_BYTES
        else:
            path, kind, longest_bytes = FOLLOW_PATH, FollowAnswer, LONGEST_FOLLOW_ANSWER_BYTES
        try:
            async with asyncio.timeout(call.timeout_ms / 1000.0):
                body = await self._post(call.server, path, codec.encode(call.request), longest_bytes)
        except TimeoutError as error:
            raise CallFailed(Failure.TIMEOUT, f"no answer within {call.timeout_ms:g} ms") from error
        except (aiohttp.ClientError, OSError, ValueError) as error:
            raise CallFailed(Failure.UNREACHABLE, f"{type(error).__name__} {error}") from error
        try:
            if len(body) > THREAD_BYTES:
                return await asyncio.to_thread(codec.decode, body, kind, longest_bytes)
            return codec.decode(body, kind, longest_bytes)
        except codec.CodecError as error:
            raise CallFailed(Failure.GARBAGE, str(error)) from error

    async def _post(self, server: str, path: str, body: bytes, longest_bytes: int) -> bytes:
        assert self._session
        self.sent_bytes += len(body)
        url = self._urls[server] + path
        post = self._session.post(url, data=body, headers=CONTENT_TYPE, allow_redirects=False)
        async with post as response:
            if response.status not in OK:
                raise CallFailed(Failure.STATUS, f"status {response.status}")
            return await self._read(response, codec.most_encoded_bytes(longest_bytes))

    async def _read(self, response: aiohttp.ClientResponse, most_bytes: int) -> bytes:
        """The body, if it is no longer than this; else the connection is closed."""
        parts, length = [], 0
        while part := await response.content.read(READ_BYTES):
            parts.append(part)
            length += len(part)
            self.received_bytes += len(part)
            if length > most_bytes:
                response.close()
                raise CallFailed(Failure.TOO_LONG, f"more than {most_bytes} bytes")
        return b"".join(parts)

    async def _leave(self) -> None:
        """Tell one control server that this process ends: the one that was followed, else another."""
        names = [server.endpoint.name for server in self.core.servers.values()]
        names.sort(key=lambda name: name != self.core.followed)
        body = codec.encode(Leave(self.follower))
        for name in names[:LEAVE_TRIES]:
            try:
                async with asyncio.timeout(LEAVE_TIMEOUT_S):
                    await self._post(name, LEAVE_PATH, body, LONGEST_FOLLOW_ANSWER_BYTES)
                return
            except (CallFailed, aiohttp.ClientError, OSError, ValueError) as error:
                log.warning(
                    "control server %s was not told of the end: %s %s", name, type(error).__name__, error
                )


def open_session(connections: int = CONNECTIONS) -> aiohttp.ClientSession:
    """A session for ``connections`` at most; who opens it closes it."""
    connector = aiohttp.TCPConnector(limit=connections, keepalive_timeout=IDLE_S)
    return aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
        auto_decompress=False,
    )
