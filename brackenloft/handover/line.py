"""Frames both ways on the connection between two processes, each one written to the kernel at once."""

from __future__ import annotations

import asyncio
import os
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from typing import cast

from brackenloft.handover.frames import Document, FrameError, Frames, encode
from brackenloft.handover.state import StateError

STEP_S = 1.0  # for each step of the other side, of 6 s in which the new process has to say yes
READ = 256 * 1024
MOST_WAITING = 1024 * 1024  # bytes that a process which does not read may leave here
SENT = "sent"  # the kind of a document with ids that the other process sends on


class Line(asyncio.Protocol):
    """One connection. What it says goes to the kernel at once; ``poll`` reads what the loop has not read yet.

    ``on_sent`` takes documents of the kind ``SENT`` as they are read, before anything else is done. Guards
    against a request that runs at both processes, while the word of the other one waits here.
    """

    def __init__(
        self, on_sent: Callable[[Document], None], made: Callable[[Line], None] | None = None
    ) -> None:
        self.on_sent, self.made = on_sent, made
        self.frames = Frames()
        self.found: deque[Document] = deque()
        self.transport: asyncio.Transport | None = None
        self.ended = False
        self.error: Exception | None = None
        self.waiter: asyncio.Future[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # uvloop's transports are not asyncio.Transport by class: no isinstance here
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(0)  # written at once, not at the end of the loop's turn
        if self.made:
            self.made(self)

    def data_received(self, data: bytes) -> None:
        try:
            for document in self.frames.feed(data):
                if document["kind"] == SENT:
                    self.on_sent(document)
                else:
                    self.found.append(document)
        except (FrameError, StateError) as error:
            self.error = self.error or error
        self._wake()

    def connection_lost(self, exc: Exception | None) -> None:
        self.ended, self.transport = True, None
        self._wake()

    def _wake(self) -> None:
        if self.waiter and not self.waiter.done():
            self.waiter.set_result(None)

    def poll(self) -> None:
        """Read what has come and the loop has not read yet."""
        if self.transport is None or self.transport.is_closing():
            return
        descriptor = self.transport.get_extra_info("socket").fileno()
        with suppress(OSError):  # nothing more has come, or it has ended, which the loop is told too
            while data := os.read(descriptor, READ):
                self.data_received(data)

    async def hear(self) -> Document | None:
        """The next document, None at the end; FrameError, StateError."""
        while not self.found:
            if self.error:
                raise self.error
            if self.ended:
                return None
            self.waiter = asyncio.get_running_loop().create_future()
            await self.waiter
        return self.found.popleft()

    async def expect(self, kind: str) -> Document:
        """The next document, which is of this kind; FrameError, StateError, TimeoutError."""
        async with asyncio.timeout(STEP_S):
            document = await self.hear()
        if document is None or document["kind"] != kind:
            raise FrameError(f"no {kind}")
        return document

    def say(self, document: Document) -> None:
        """Write it; FrameError if it is too long, or the other side does not read."""
        if self.transport is None:
            return
        if self.transport.get_write_buffer_size() > MOST_WAITING:
            raise FrameError("the other side does not read")
        self.transport.write(encode(document))

    def close(self) -> None:
        """End it, once all is written."""
        if self.transport:
            self.transport.close()
