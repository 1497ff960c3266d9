"""The second address: HTTP/1.1 for operators, one call to a connection, in the gateway's own loop."""

from __future__ import annotations

import asyncio
import json
import socket
from collections import OrderedDict
from collections.abc import Callable
from http import HTTPStatus
from typing import cast

import httptools

from brackenloft.net.momentary import tried_again
from brackenloft.net.transport_handover import hand_over
from brackenloft.ops.calls import Response, problem

PLACES = 16  # callers at once, with descriptors of this address's own; who says nothing longest goes first
BACKLOG = 64  # callers that wait in the kernel: a crowd of fifty finds room
ACCEPTS = 8  # callers taken before others have their turn
LONGEST_CALL = 8 * 1024  # bytes of a call with its headers and body: no call here needs any of the latter
CALL_S = 10.0  # for a whole call: who holds a connection open does so for 4 s, and a poor link takes some
AGAIN_S = 0.05  # before callers are taken again after that failed: an answer is owed in 1 s
LINGER_S = 0.5  # after the answer, unread, so that it is not reset away by what still comes

Answerer = Callable[[str, str], Response]


def encode(response: Response) -> bytes:
    """The response as it is written; the connection ends behind it."""
    body = json.dumps(response.document, separators=(",", ":")).encode() + b"\n"
    allow = f"Allow: {response.allow}\r\n" if response.allow else ""
    return (
        f"HTTP/1.1 {response.status.value} {response.status.phrase}\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n{allow}Connection: close\r\n\r\n"
    ).encode() + body


class Caller(asyncio.Protocol):
    """One connection with its one call."""

    def __init__(self, address: SecondAddress) -> None:
        self.address = address
        self.parser = httptools.HttpRequestParser(self)
        self.url, self.size = b"", 0
        self.transport: asyncio.Transport | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.answered = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # uvloop's transports are not asyncio.Transport by class: no isinstance here
        self.transport = cast(asyncio.Transport, transport)
        late = problem(HTTPStatus.REQUEST_TIMEOUT, "no whole call has come")
        self.timer = self.address.loop.call_later(CALL_S, self.answer, late)

    def data_received(self, data: bytes) -> None:
        if self.answered:
            return  # a second call, or the rest of what was too long
        self.size += len(data)
        if self.size > LONGEST_CALL:
            self.answer(problem(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the call is too long"))
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            self.answer(problem(HTTPStatus.BAD_REQUEST, f"not a call: {error}"))

    def on_url(self, url: bytes) -> None:
        """A part of the target."""
        self.url += url

    def on_message_complete(self) -> None:
        """The call is whole."""
        if not self.answered:
            path = self.url.partition(b"?")[0].decode("latin-1")
            self.answer(self.address.answerer(self.parser.get_method().decode("latin-1"), path))

    def answer(self, response: Response) -> None:
        """Write the one answer; the connection ends behind it, and is left to the caller for a while."""
        if self.answered or self.transport is None:
            return
        self.answered = True
        self.address.waiting.pop(self, None)
        self.transport.write(encode(response))
        if self.timer:
            self.timer.cancel()
        self.transport.write_eof()
        self.timer = self.address.loop.call_later(LINGER_S, self.transport.abort)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        if self.timer:
            self.timer.cancel()
        self.address.ended(self)


class SecondAddress:
    """Listens for operators; ``answerer`` turns method and path into a response."""

    def __init__(self, host: str, port: int, answerer: Answerer) -> None:
        self.answerer = answerer
        self.loop = asyncio.get_running_loop()
        self.waiting: OrderedDict[Caller, None] = OrderedDict()  # without a whole call, the longest first
        self.open: set[Caller] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.taking = True
        self.listener = tried_again(lambda: socket.create_server((host, port), backlog=BACKLOG))
        self.listener.setblocking(False)
        self.port: int = self.listener.getsockname()[1]
        self.loop.add_reader(self.listener, self._accept)

    def _accept(self) -> None:
        """Take callers while there are places; else the one who waits longest without a whole call goes.

        Guards against callers who hold a connection and say nothing: they can't keep the others out.
        """
        for _ in range(ACCEPTS):
            if len(self.open) >= PLACES:
                self._pause()  # until a place is free
                for caller in list(self.waiting)[:1]:
                    del self.waiting[caller]
                    if caller.transport:
                        caller.transport.abort()
                return
            try:
                sock, _ = self.listener.accept()
            except BlockingIOError:
                return
            except OSError:  # out of descriptors: who waits stays readable, and would be tried without end
                self._pause()
                self.loop.call_later(AGAIN_S, self._take)
                return
            caller = Caller(self)
            self.open.add(caller)
            self.waiting[caller] = None
            task = self.loop.create_task(self._admit(sock, caller))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _admit(self, sock: socket.socket, caller: Caller) -> None:
        try:
            sock.setblocking(False)
            await hand_over(self.loop, lambda: caller, sock)
        except (OSError, RuntimeError):
            self.ended(caller)

    def ended(self, caller: Caller) -> None:
        """A connection has ended, and its place is free."""
        self.open.discard(caller)
        self.waiting.pop(caller, None)
        self._take()

    def _pause(self) -> None:
        self.taking = False
        self.loop.remove_reader(self.listener)

    def _take(self) -> None:
        if not self.taking and self.listener.fileno() >= 0:
            self.taking = True
            self.loop.add_reader(self.listener, self._accept)

    def close(self) -> None:
        """Listen no more; calls that were not answered yet are cut off."""
        self.loop.remove_reader(self.listener)
        self.listener.close()
        for caller in list(self.open):
            if caller.transport and not caller.answered:
                caller.transport.abort()
