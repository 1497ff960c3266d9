"""Pure ASGI middleware: nothing of the host's framework is needed, and nothing of it is touched."""

from __future__ import annotations

import asyncio
import inspect
import logging
from collections.abc import Awaitable, Callable, MutableMapping
from contextlib import suppress
from dataclasses import replace
from typing import Any

from brackenloft.answers import Answer, Granted, Served
from brackenloft.asgi import problem as problems
from brackenloft.asgi.mapping import Forward, Mapped, Mapper, Scope
from brackenloft.asgi.problem import Headers, Send
from brackenloft.checks import FieldError
from brackenloft.edge import Admission, Call, Edge, EdgeClosed, Pending
from brackenloft.net.resp import LONGEST_VALUE

log = logging.getLogger(__name__)

Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
App = Callable[[Scope, Receive, Send], Awaitable[None]]


CLOSE_TURNS = 4  # of the loop: a server reads the end behind a request's last byte in one, and hands it on


class Incoming:
    """What comes from the client, watched for its leaving while the application does not read yet.

    Guards against holding a place for a client that is gone. What the watch has read is kept for the
    application: one message of a body that streams, or a whole short body.
    """

    def __init__(self, receive: Receive) -> None:
        self._receive = receive
        self._kept: list[Message] = []
        self._task: asyncio.Future[Message] | None = None

    async def receive(self) -> Message:
        """The next message, as the application's ``receive``."""
        if self._kept:
            return self._kept.pop(0)
        if self._task:
            task, self._task = self._task, None
            return await task
        return await self._receive()

    async def left(self) -> None:
        """Returns when the client has left; else never, once a body streams."""
        while True:
            if self._task is None:
                self._task = asyncio.ensure_future(self._receive())
            message = await asyncio.shield(self._task)
            self._task = None
            self._kept.append(message)
            if message["type"] == "http.disconnect":
                return
            if message.get("more_body"):
                await asyncio.Event().wait()

    async def closed_behind_request(self) -> bool:
        """Whether the client had closed its connection before its whole request was read.

        A connection that waited in the listener's backlog brings a request and the end behind it at once, and
        the server reads the end one turn of the loop later. Guards against attempts for clients that left.
        """
        for _ in range(CLOSE_TURNS):
            if self._task is None:
                self._task = asyncio.ensure_future(self._receive())
            await asyncio.sleep(0)
            if not self._task.done() or self._task.exception():
                continue
            message = self._task.result()
            if message["type"] == "http.disconnect":
                return True
            if message.get("more_body"):
                return False  # it streams: who reads it hears of the end
            self._kept.append(message)
            self._task = None
        return False

    async def body(self, most: int) -> bytes | None:
        """The whole body; None if the client left before its end. ValueError beyond so many bytes."""
        parts, size = [], 0
        while True:
            message = await self.receive()
            if message["type"] == "http.disconnect":
                return None
            parts.append(message.get("body", b""))
            size += len(parts[-1])
            if size > most:
                raise ValueError(f"more than {most} bytes")
            if not message.get("more_body"):
                return b"".join(parts)

    @property
    def watching(self) -> bool:
        """Whether a message is being waited for."""
        return self._task is not None

    async def close(self) -> None:
        """No task is left behind."""
        if self._task:
            self._task.cancel()
            with suppress(asyncio.CancelledError, Exception):
                await self._task


async def answered(pending: Pending, incoming: Incoming) -> Answer | None:
    """The answer, or None where the client has left before it: then the request is withdrawn."""
    if pending.value is not None:
        return await pending.wait()
    waiting = asyncio.ensure_future(pending.wait())
    leaving = asyncio.ensure_future(incoming.left())
    try:
        await asyncio.wait((waiting, leaving), return_when=asyncio.FIRST_COMPLETED)
        return waiting.result() if waiting.done() else None
    finally:  # also when the host cancels this
        for task in (waiting, leaving):
            if not task.done():
                task.cancel()
        await asyncio.gather(waiting, leaving, return_exceptions=True)


class QuotaMiddleware:
    """Before an ASGI application: what ``mapper`` makes a call of is metered, held, capped, or sent on.

    ``edge`` must be open while requests come, say within the application's lifespan. Lifespan and websockets
    pass untouched, as does what the mapper has nothing to do with. A mapper that fails costs its own request
    alone.
    """

    def __init__(self, app: App, edge: Edge, mapper: Mapper) -> None:
        self.app, self.edge, self.mapper = app, edge, mapper
        self.may_advise = edge.settings.limits.can_advise_retry

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """One connection scope of ASGI 3."""
        if scope["type"] != "http":
            await self.app(scope, receive, send)
            return
        try:
            mapped = self._map(scope)
            if inspect.isawaitable(mapped):
                mapped = await self._mapped_later(mapped)
            if mapped is None:
                await self.app(scope, receive, send)
                return
            incoming = Incoming(receive)
            if isinstance(mapped, Forward):
                await self._forward(mapped, incoming, send)
                return
            admission = await self._admit(mapped.call, incoming, send)
        except FieldError as error:
            await problems.for_field(error).send(send)
            return
        except EdgeClosed:
            await problems.CLOSED.send(send)
            return
        except _NotMapped:
            await problems.NOT_MAPPED.send(send)
            return
        if admission:
            await self._serve(scope, incoming, send, mapped.call, admission)

    def _map(self, scope: Scope) -> Mapped | Awaitable[Mapped]:
        try:
            return self.mapper(scope)
        except FieldError:
            raise
        except Exception as error:  # the host's own code: it must not take other requests along
            log.exception("the mapper failed")
            raise _NotMapped from error

    async def _mapped_later(self, mapped: Awaitable[Mapped]) -> Mapped:
        try:
            return await mapped
        except FieldError:
            raise
        except Exception as error:
            log.exception("the mapper failed")
            raise _NotMapped from error

    def _headers(self, call: Call) -> Headers:
        left = self.edge.driver.gateway.allowance(call.plan, call.customer, call.width)
        return problems.quota_headers(call.plan, left)

    async def _refuse(self, answer: Answer, call: Call, send: Send) -> None:
        await problems.for_answer(answer, self._headers(call), self.may_advise).send(send)

    # ---- Served by the host

    async def _admit(self, call: Call, incoming: Incoming, send: Send) -> Admission | None:
        pending = self.edge.begin(call, local=True)
        if isinstance(pending.value, Granted):  # at once: the ordinary path
            self.edge.done(pending)
            return Admission(self.edge, pending.value, pending.request_id)
        try:
            answer = await answered(pending, incoming)
        except asyncio.CancelledError:
            await incoming.close()
            raise
        admission = Admission(self.edge, answer, pending.request_id) if answer else None
        if admission and admission.granted:
            return admission
        await incoming.close()
        if answer:
            await self._refuse(answer, call, send)
        return None

    async def _serve(
        self,
        scope: Scope,
        incoming: Incoming,
        send: Send,
        call: Call,
        admission: Admission,
    ) -> None:
        """The application's turn; the place is given back however it ends."""
        headers = self._headers(call)

        async def send_with_headers(message: Message) -> None:
            if message["type"] == "http.response.start":
                mine = [*message.get("headers", ()), *headers]
                message = {**message, "headers": mine}
            await send(message)

        scope = {**scope, "brackenloft": admission}
        try:
            await self.app(scope, incoming.receive, send_with_headers)
        except BaseException:
            admission.failed = True
            raise
        finally:
            admission.release()
            if incoming.watching:
                await incoming.close()

    # ---- Sent on to board nodes

    async def _forward(self, mapped: Forward, incoming: Incoming, send: Send) -> None:
        call = mapped.call
        try:
            body = await incoming.body(LONGEST_VALUE)
        except ValueError:
            await problems.too_large(LONGEST_VALUE).send(send)
            return
        if body is None or await incoming.closed_behind_request():
            await incoming.close()
            return  # nothing was asked yet
        if body:
            call = replace(call, body=body)
        try:
            answer = await answered(self.edge.begin(call), incoming)
        finally:
            await incoming.close()
        if answer is None:
            return
        if not isinstance(answer, Served):
            await self._refuse(answer, call, send)
            return
        headers = [
            (b"content-type", mapped.media_type.encode("latin-1")),
            (b"content-length", b"%d" % len(answer.value)),
            *self._headers(call),
        ]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        await send({"type": "http.response.body", "body": answer.value})


class _NotMapped(Exception):  # noqa: N818
    """The mapper failed; it has been logged."""
