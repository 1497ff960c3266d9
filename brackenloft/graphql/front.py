"""The front: an ASGI application that takes GraphQL over HTTP. It decides nothing: it reads, asks, writes."""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from collections.abc import Callable, Mapping
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from math import ceil
from typing import Any

from brackenloft.answers import Refused
from brackenloft.asgi import problem as problems
from brackenloft.asgi.mapping import WAIT, Scope, header
from brackenloft.asgi.middleware import Incoming, Receive
from brackenloft.asgi.problem import Headers, Send
from brackenloft.checks import FieldError
from brackenloft.edge import Edge, EdgeClosed
from brackenloft.graphql import cost as costs
from brackenloft.graphql import plan as plans
from brackenloft.graphql.allowance import Allowance, Reading
from brackenloft.graphql.cost import Walk
from brackenloft.graphql.documents import Documents
from brackenloft.graphql.limits import Code, Turned
from brackenloft.graphql.plan import Plan, Prepared
from brackenloft.graphql.requests import (
    RESPONSE,
    Asked,
    accepted,
    by_get,
    by_post,
    encode,
    error,
    status_for,
)
from brackenloft.graphql.run import Caller, Joined, Run

log = logging.getLogger(__name__)

PATH = "/graphql"
BODY_S = 5.0  # for a body, which is small: a client that sends it byte by byte holds a place


@dataclass(frozen=True, slots=True)
class Price:
    """Units of a quota by cost: so many points a unit, and ``least`` in any case."""

    per_unit: float = 10.0
    least: float = 1.0

    def __post_init__(self) -> None:
        if not self.per_unit > 0.0 or not self.least > 0.0:
            raise ValueError(f"per_unit: not above 0, or least is not: {self.per_unit!r}, {self.least!r}")


class HeaderCallers:
    """Who asks, by header fields. Believes what it reads: a check of the caller belongs before it."""

    def __init__(self, plan: str | None = None) -> None:
        self.plan = plan

    def __call__(self, scope: Scope) -> Caller:
        """The caller. Raises FieldError."""
        customer, plan = header(scope, b"x-customer"), header(scope, b"x-plan") or self.plan
        if not customer or not plan:
            raise FieldError("x-plan" if customer else "x-customer", "is missing")
        wait = WAIT.search(header(scope, b"prefer") or "")
        return Caller(customer, plan, float(wait[1]) * 1000.0 if wait else None)


class GraphQLFront:
    """Serves one schema on one edge at one path; other paths are not found."""

    def __init__(
        self,
        edge: Edge,
        documents: Documents,
        price: Price = Price(),  # noqa: B008
        callers: Callable[[Scope], Caller] | None = None,
        path: str = PATH,
        reading: Reading = Reading(),  # noqa: B008
    ) -> None:
        self.edge, self.documents, self.price, self.path = edge, documents, price, path
        self.callers = callers or HeaderCallers()
        self.may_advise = edge.settings.limits.can_advise_retry
        self.allowance = Allowance(reading)
        self.reads: dict[str, asyncio.Future[Prepared | Turned]] = {}  # by text, those under way
        self.reader = ThreadPoolExecutor(1, "graphql-reader")  # whose thread starts with the first
        self.counts: Counter[str] = Counter()  # of answers, by code

    def close(self) -> None:
        """Read no more documents."""
        self.reader.shutdown(wait=False, cancel_futures=True)

    def figures(self) -> dict[str, object]:
        """What became of requests, by code, and how the documents' cache does."""
        documents = self.documents
        return {
            "answers": dict(self.counts),
            "documents": len(documents.kept),
            "hits": documents.hits,
            "misses": documents.misses,
        }

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """One connection scope of ASGI 3."""
        if scope["type"] != "http":
            return
        incoming = Incoming(receive)
        try:
            await self._serve(scope, incoming, send)
        finally:
            await incoming.close()

    async def _serve(self, scope: Scope, incoming: Incoming, send: Send) -> None:
        media_type = RESPONSE
        headers: Headers = []
        try:
            if scope["path"] != self.path:
                raise Turned(Code.BAD_REQUEST, f"there is nothing but {self.path}", 404)
            found = accepted(header(scope, b"accept") or "")
            if found is None:
                raise Turned(Code.BAD_REQUEST, f"answers are in {RESPONSE}", 406)
            media_type = found
            caller = self.callers(scope)
            asked = await self._read(scope, incoming)
            if asked is None or await incoming.closed_behind_request():
                return  # the client has left
            prepared = await self._document(asked, caller)
            plan, run = self._prepare(prepared, asked, caller, self._key(scope))
            joined = await self._answer(run, incoming)
            if joined is None:
                return
            headers = self._headers(caller)
            await self._tell(plan, run, joined, media_type, headers, send)
        except Turned as turned:
            if turned.back_ms and self.may_advise:
                headers = [(b"retry-after", b"%d" % ceil(turned.back_ms / 1000.0))]
            if turned.status == 405:
                headers = [(b"allow", b"GET, POST" if turned.code is not Code.METHOD else b"POST")]
            await self._turn(turned, media_type, headers, send)
        except FieldError as wrong:
            await self._turn(Turned(Code.BAD_REQUEST, str(wrong)), media_type, [], send)
        except EdgeClosed:
            await self._turn(
                Turned(Code.CLOSED, "the gateway is not open", 503),
                media_type,
                list(problems.CLOSED.headers),
                send,
            )

    # ---- From a request to a plan

    async def _read(self, scope: Scope, incoming: Incoming) -> Asked | None:
        limits = self.documents.limits
        if scope["method"] == "GET":
            return by_get(scope["query_string"], limits)
        if scope["method"] != "POST":
            raise Turned(Code.BAD_REQUEST, f"not by {scope['method'][:20]}", 405)
        told = header(scope, b"content-length")
        if told and told.isdecimal() and int(told[:12]) > limits.body_bytes:
            raise Turned(Code.BYTES, f"a body of more than {limits.body_bytes} bytes", 413)
        try:
            async with asyncio.timeout(BODY_S):
                body = await incoming.body(limits.body_bytes)
        except TimeoutError as late:
            raise Turned(Code.BAD_REQUEST, f"the body has not come within {BODY_S:g} s", 408) from late
        except ValueError as wrong:
            raise Turned(Code.BYTES, f"a body of more than {limits.body_bytes} bytes", 413) from wrong
        return None if body is None else by_post(header(scope, b"content-type") or "", body)

    @staticmethod
    def _key(scope: Scope) -> str | None:
        key = header(scope, b"idempotency-key")
        return key[1:-1] if key and len(key) > 2 and key[0] == key[-1] == '"' else key

    async def _document(self, asked: Asked, caller: Caller) -> Prepared:
        """The document that is meant. One that is not known is read in a thread, one after the other.

        Guards against holding the loop: a document at its limits takes tens of milliseconds.
        """
        documents = self.documents
        if asked.text is None:
            return documents.named(asked.name or "")
        known = documents.known(asked.text, asked.name)
        if known:
            return known
        under_way = self.reads.get(asked.text)
        if under_way is None:
            under_way = self._read_document(asked.text, caller)
        await asyncio.wait((under_way,))  # not awaited itself: who leaves must not end it for others
        known = documents.known(asked.text, None)
        if known:
            return known
        try:
            read = under_way.result()
        except Exception as fault:  # a fault of ours, or of the library's: it costs this document alone
            log.exception("a document can't be read")
            read = Turned(Code.PARSE, "the document can't be read")
            read.__cause__ = fault
        return documents.keep(asked.text, read)

    def _read_document(self, text: str, caller: Caller) -> asyncio.Future[Prepared | Turned]:
        """Begin to read a document, for all who ask for it meanwhile."""
        customer = self.edge.checks.customer(caller.customer)
        back_ms = self.allowance.take(customer, len(text), self.edge.driver.clock())
        if back_ms:
            raise Turned(Code.READING, "too many documents that were not known before", 429, back_ms)
        if len(self.reads) >= self.allowance.reading.waiting:
            raise Turned(Code.BUSY, "too many documents wait to be read", 503, problems.BUSY_S * 1000.0)
        reading = asyncio.get_running_loop().run_in_executor(self.reader, self.documents.read, text)
        self.reads[text] = reading
        reading.add_done_callback(lambda _: self.reads.pop(text, None))
        return reading

    def _prepare(
        self,
        prepared: Prepared,
        asked: Asked,
        caller: Caller,
        key: str | None,
    ) -> tuple[Plan, Run]:
        """Check, cost and plan; nothing is charged yet."""
        documents = self.documents
        limits, priced = documents.limits, documents.priced
        operation = plans.choose(prepared, asked.operation)
        if operation.operation.value == "mutation" and not asked.may_mutate:
            raise Turned(Code.METHOD, "a mutation is asked for by POST", 405)
        variables = plans.coerce(priced, operation, asked.variables)
        plan = plans.plan(prepared, operation, variables, priced, limits)
        checks = self.edge.checks
        given = {
            item.variable.name.value: asked.variables[item.variable.name.value]
            for item in operation.variable_definitions or ()
            if item.variable.name.value in asked.variables
        }
        units = costs.units(plan.cost, self.price.per_unit, self.price.least, checks.largest)
        walk = Walk(priced, prepared.fragments, variables, limits)
        keys = plans.keys(plan, checks.classes, key)
        return plan, Run(
            self.edge, plan, caller, walk, given, keys, units, self.price.per_unit, self.price.least
        )

    # ---- From a plan to an answer

    async def _answer(self, run: Run, incoming: Incoming) -> Joined | None:
        """The joined answer; None where the client has left, and what was in hand is withdrawn."""
        working = asyncio.ensure_future(run.whole())
        leaving = asyncio.ensure_future(incoming.left())
        try:
            await asyncio.wait((working, leaving), return_when=asyncio.FIRST_COMPLETED)
            return await working if working.done() else None
        finally:
            for task in (working, leaving):
                task.cancel()
            await asyncio.gather(working, leaving, return_exceptions=True)

    def _headers(self, caller: Caller) -> Headers:
        left = self.edge.driver.gateway.allowance(caller.plan, caller.customer, caller.width)
        return problems.quota_headers(caller.plan, left)

    async def _tell(
        self,
        plan: Plan,
        run: Run,
        joined: Joined,
        media_type: str,
        headers: Headers,
        send: Send,
    ) -> None:
        if joined.refused:
            await self._refuse(joined.refused, media_type, headers, send)
            return
        true = joined.cost.total + run.walk.priced.types[plan.root.name]
        document: dict[str, Any] = {"data": joined.data}
        if joined.errors:
            document = {"errors": joined.errors} | document
        document["extensions"] = {
            "cost": {"requested": plan.cost.total, "actual": min(true, plan.cost.total), "units": run.units}
        }
        self.counts["SERVED" if joined.served else Code.FAILED.value] += 1
        await _send(send, status_for(media_type, 502, joined.served), media_type, headers, document)

    async def _refuse(self, refused: Refused, media_type: str, headers: Headers, send: Send) -> None:
        """Nothing has run. Said at once, with when to come back where that is allowed."""
        code = Code.QUOTA if refused.over_quota else Code.BUSY
        more: dict[str, Any] = {}
        if self.may_advise:
            wait_ms = refused.retry_after_ms if refused.retry_after_ms > 0 else problems.BUSY_S * 1000
            headers = [(b"retry-after", b"%d" % ceil(wait_ms / 1000.0)), *headers]
            more["retryAfterMs"] = wait_ms
        words = "The customer has used its quota for now." if refused.over_quota else "There is no room."
        entry = error(code, f"Nothing was done. {words}", ran="no", **more)
        self.counts[code.value] += 1
        await _send(send, 429 if refused.over_quota else 503, media_type, headers, {"errors": [entry]})

    async def _turn(self, turned: Turned, media_type: str, headers: Headers, send: Send) -> None:
        self.counts[turned.code.value] += 1
        status = status_for(media_type, turned.status, served=False)
        await _send(send, status, media_type, headers, {"errors": [error(turned.code, turned.message)]})


async def _send(
    send: Send,
    status: int,
    media_type: str,
    headers: Headers,
    document: Mapping[str, Any],
) -> None:
    body = encode(document)
    await send(
        {
            "type": "http.response.start",
            "status": status,
            "headers": [
                (b"content-type", f"{media_type}; charset=utf-8".encode()),
                (b"content-length", b"%d" % len(body)),
                (b"vary", b"accept"),
                *headers,
            ],
        }
    )
    await send({"type": "http.response.body", "body": body})
