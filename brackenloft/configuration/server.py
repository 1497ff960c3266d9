"""The HTTP side of a control server: bounded requests in, messages to the parts, encoded answers out."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, cast

from aiohttp import web

from brackenloft.config import Address
from brackenloft.configuration import codec
from brackenloft.configuration.codec import CodecError
from brackenloft.configuration.figures import Figures
from brackenloft.configuration.following_service import BadRequest
from brackenloft.configuration.log import UnknownBucket
from brackenloft.configuration.messages import LONGEST_REQUEST_BYTES
from brackenloft.configuration.peers import CONTENT_TYPE, decode
from brackenloft.configuration.roster import RosterFullError

LONGEST_SMALL_REQUEST_BYTES = 16 * 1024  # of all but those that carry a change
READ_TIMEOUT_S = 10.0  # of a request's body
WRITE_TIMEOUT_S = 10.0  # of an answer, to a client that reads slowly or not at all
KEEPALIVE_S = 60.0  # of a connection without a request
SHUTDOWN_S = 2.0
LINGER_S = 1.0  # after an answer to a request whose body was not read to its end
BACKLOG = 1024
READ_BYTES = 64 * 1024

Handle = Callable[[Any], Awaitable[object]]


class _Refusal(asyncio.Protocol):
    """A connection beyond the bound: it is ended at once."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        cast(asyncio.Transport, transport).abort()  # of the loop's own type, which need not be a subclass


class HttpServer:
    """Routes to handlers. A handler's result is a message, or bytes that are encoded already."""

    def __init__(self, figures: Figures, most_requests: int, most_connections: int) -> None:
        self._figures, self._most_requests = figures, most_requests
        self._most_connections = most_connections
        self._listener: asyncio.Server | None = None
        self._requests = 0
        self._app = web.Application(
            client_max_size=codec.most_encoded_bytes(LONGEST_REQUEST_BYTES), middlewares=[self._bounded]
        )
        self._runner = web.AppRunner(
            self._app,
            access_log=None,
            keepalive_timeout=KEEPALIVE_S,
            shutdown_timeout=SHUTDOWN_S,
            lingering_time=LINGER_S,
        )
        self.address: Address = ("", 0)

    def post(
        self, path: str, kind: Any, handle: Handle, longest_bytes: int = LONGEST_SMALL_REQUEST_BYTES
    ) -> None:
        """Answer messages of a type."""

        async def handler(request: web.Request) -> web.Response:
            body = await self._read(request, codec.most_encoded_bytes(longest_bytes))
            message = await decode(body, kind, longest_bytes)
            return await self._response(await handle(message))

        self._app.router.add_post(path, handler)

    def status(self, path: str, answer: Callable[[], object]) -> None:
        """Answer a request without a body, by GET or POST."""

        async def handler(request: web.Request) -> web.Response:
            return await self._response(answer())

        self._app.router.add_get(path, handler)
        self._app.router.add_post(path, handler)

    def text(self, path: str, answer: Callable[[], bytes], content_type: str) -> None:
        """Answer a GET for people and collectors."""

        async def handler(request: web.Request) -> web.Response:
            return web.Response(body=answer(), headers={"Content-Type": content_type})

        self._app.router.add_get(path, handler)

    async def start(self, address: Address) -> None:
        """Listen; OSError if that can't be."""
        await self._runner.setup()
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(self._accept, *address, backlog=BACKLOG)
        host, port = self._listener.sockets[0].getsockname()[:2]
        self.address = host, port

    def _accept(self) -> asyncio.BaseProtocol:
        server = self._runner.server
        assert server
        if len(server.connections) >= self._most_connections:
            self._figures.refused.labels("connections").inc()
            return _Refusal()
        return server()

    async def close(self) -> None:
        """Take no further requests, and end what is under way within ``SHUTDOWN_S``."""
        if self._listener:
            self._listener.close()
        await self._runner.cleanup()

    # ---- One request

    @web.middleware
    async def _bounded(
        self, request: web.Request, handler: Callable[[web.Request], Awaitable[web.StreamResponse]]
    ) -> web.StreamResponse:
        if self._requests >= self._most_requests:
            return self._refuse(503, "too many requests")
        self._requests += 1
        try:
            response = await handler(request)
        except (CodecError, BadRequest, UnknownBucket) as error:
            response = self._refuse(400, str(error))
        except (OSError, RosterFullError) as error:
            response = self._refuse(503, str(error))
        finally:
            self._requests -= 1
        return await self._write(request, response)

    async def _read(self, request: web.Request, most_bytes: int) -> bytes:
        """The whole body; 408 or 413 if it takes too long or is too long."""
        parts, length = [], 0
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                while part := await request.content.read(READ_BYTES):
                    parts.append(part)
                    length += len(part)
                    if length > most_bytes:
                        self._figures.refused.labels("413").inc()
                        raise web.HTTPRequestEntityTooLarge(most_bytes, length)
        except TimeoutError:
            self._figures.refused.labels("408").inc()
            raise web.HTTPRequestTimeout() from None
        return b"".join(parts)

    async def _response(self, answer: object) -> web.Response:
        if answer is None:
            return web.Response(status=204)
        body = answer if isinstance(answer, bytes) else codec.encode(answer)
        return web.Response(body=body, headers={"Content-Type": CONTENT_TYPE})

    def _refuse(self, status: int, reason: str) -> web.Response:
        self._figures.refused.labels(str(status)).inc()
        return web.Response(status=status, text=reason[:300])

    async def _write(self, request: web.Request, response: web.StreamResponse) -> web.StreamResponse:
        """Send within the time, else end the connection. Guards against buffers held by slow readers."""
        try:
            async with asyncio.timeout(WRITE_TIMEOUT_S):
                await response.prepare(request)
                await response.write_eof()
        except (TimeoutError, ConnectionError) as error:
            self._figures.refused.labels("slow_reader" if isinstance(error, TimeoutError) else "gone").inc()
            if request.transport:
                request.transport.abort()
        return response
