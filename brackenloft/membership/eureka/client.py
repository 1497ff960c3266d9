"""Follows a registry: asks, reads what comes in slices of the loop's time, says what has changed.

All decisions are elsewhere: whom and what to ask next (rounds.py), what a document means (copy.py), which
instances are servers (servers.py). A document is taken whole or not at all.
"""

from __future__ import annotations

import asyncio
import logging
import random
import zlib
from collections.abc import AsyncIterator, Callable
from dataclasses import asdict, dataclass
from datetime import UTC
from email.utils import parsedate_to_datetime
from math import inf

import httpx

from brackenloft.membership.eureka.copy import Change, Copy, CopyError
from brackenloft.membership.eureka.forms import HASHCODE, VERSION, FormError, JsonForm, Raw, XmlForm, form_of
from brackenloft.membership.eureka.rounds import Ask, Rounds, Server
from brackenloft.membership.eureka.servers import Choice, ServerReader
from brackenloft.membership.eureka.skew import Skew
from brackenloft.membership.model import Said

log = logging.getLogger(__name__)

SLICE = 16 * 1024  # bytes of a document that are read before the loop goes on: about a millisecond
MOST_BYTES = 128 * 1024 * 1024  # of a document, unpacked: 100,000 instances of a usual size
MOST_DELTA = 4 * 1024  # instances in a delta; more is no delta, and the whole list is asked for
MOST_SAID = 256  # instances told at once: what is told holds the loop too
CONNECT_S = 1.0  # to a registry's server: another is tried then
OK, NOT_MODIFIED, NOT_FOUND = 200, 304, 404
NO_DELTAS = (403, 404, 405, 501)  # answers of servers that give none
FAULTS = (httpx.HTTPError, httpx.InvalidURL, TimeoutError, OSError, FormError, CopyError)
Clock = Callable[[], float]


@dataclass(frozen=True, slots=True)
class Terms:
    """How a registry is followed.

    ``vip``, ``secure_vip``: only instances under this virtual address are asked for, without deltas.
    ``compact``: ask for the short form, which has no times: nodes that are new count as started when seen.
    """

    servers: tuple[Server, ...]
    choice: Choice = Choice()
    zone: str = ""
    interval_ms: float = 5000.0
    timeout_ms: float = 10_000.0
    vip: str = ""
    secure_vip: str = ""
    deltas: bool = True
    compact: bool = False
    xml: bool = False


@dataclass(slots=True)
class Tally:
    """What became of the questions so far."""

    whole: int = 0
    deltas: int = 0
    unchanged: int = 0
    failed: int = 0
    wrong: int = 0  # documents after which the count did not agree
    unread: int = 0  # instances that could not be read
    bytes: int = 0  # as they came


class Eureka:
    """One registry as a source. ``say`` is told what has changed."""

    def __init__(
        self,
        number: int,
        terms: Terms,
        say: Callable[[Said], None],
        clock: Clock,
        seed: int,
    ) -> None:
        self.number, self.terms, self.say, self.clock = number, terms, say, clock
        self.random = random.Random(seed)
        deltas = terms.deltas and not terms.vip and not terms.secure_vip
        self.rounds = Rounds(terms.servers, terms.zone, terms.interval_ms, deltas)
        self.skews = [Skew() for _ in terms.servers]
        self.reader = ServerReader(terms.choice, self.skews[0])
        self.copy = Copy(self.reader)
        self.tally = Tally()
        self.versions: dict[int, int] = {}  # of the last delta, by server
        self.tags: dict[int, str] = {}  # of the last whole list, by server, while the copy is that list
        self.complained: set[tuple[int, Ask, str]] = set()  # of failures: said once, not at each question
        self.unread: list[str] = []  # the instances that could not be read at last
        self.learned_ms = -inf  # when something was last learned
        kind = "application/xml" if terms.xml else "application/json"
        headers = {"Accept": kind, "Accept-Encoding": "gzip", "User-Agent": "brackenloft"}
        if terms.compact:
            headers["X-Eureka-Accept"] = "compact"
        timeout = httpx.Timeout(terms.timeout_ms / 1000.0, connect=CONNECT_S)
        secure = any(server.url.startswith("https:") for server in terms.servers)
        # No proxies or credentials of the environment: only what the file says. Certificates are read, which
        # holds the loop for 40 ms, where there is a use for them.
        self.http = httpx.AsyncClient(
            headers=headers,
            timeout=timeout,
            trust_env=False,
            follow_redirects=False,
            verify=secure,
            limits=httpx.Limits(max_connections=2, max_keepalive_connections=1),
        )
        self.task = asyncio.get_running_loop().create_task(self._run())

    def figures(self) -> dict[str, object]:
        """What became of the questions."""
        return asdict(self.tally) | {"instances": len(self.copy.records), "servers": self.copy.servers}

    async def close(self) -> None:
        """Ask no more."""
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)
        await self.http.aclose()

    # ---- Rounds

    async def _run(self) -> None:
        while True:
            try:
                await self.once()
            except Exception:  # a fault of ours must not end the source: what is known stays
                log.exception("reading the registry failed")
                self.rounds.failed_once(self.clock(), 1.0)
                await asyncio.sleep(self.terms.interval_ms / 1000.0)

    async def once(self) -> None:
        """Wait until it is time, ask once, take what comes."""
        plan = self.rounds.next()
        await asyncio.sleep(max(0.0, plan.at - self.clock()) / 1000.0)
        try:
            async with asyncio.timeout(self.terms.timeout_ms / 1000.0):
                right = await self._ask(plan.server, plan.ask)
        except FAULTS as error:
            self.tally.failed += 1
            self._complain(plan.server, plan.ask, error)
            self.rounds.failed_once(self.clock(), self.random.random())
            return
        if right is not None:
            self._settled(plan.server)
            self.rounds.answered(self.clock(), right, self.random.random())

    def _complain(self, server: int, ask: Ask, error: Exception) -> None:
        """Say what is wrong, each kind once until all is well. Guards against a log that is filled."""
        kind = (server, ask, type(error).__name__)
        if kind not in self.complained:
            self.complained.add(kind)
            words = f"{self.terms.servers[server].url} ({ask.value}): {type(error).__name__} {error}"
            log.warning("registry %.300s; what is known stays", words)

    def _settled(self, server: int) -> None:
        if self.complained:
            self.complained.clear()
            log.info("registry %s answers again", self.terms.servers[server].url)

    def _path(self, ask: Ask) -> str:
        if ask is Ask.DELTA:
            return "/apps/delta"
        if self.terms.vip:
            return f"/vips/{self.terms.vip}"
        return f"/svips/{self.terms.secure_vip}" if self.terms.secure_vip else "/apps"

    async def _ask(self, server: int, ask: Ask) -> bool | None:
        """Whether the count agrees after this; None if something else is to be asked instead."""
        headers = {}
        if ask is Ask.WHOLE and server in self.tags:
            headers["If-None-Match"] = self.tags[server]
        url = self.terms.servers[server].url.rstrip("/") + self._path(ask)
        asked = self.clock()
        async with self.http.stream("GET", url, headers=headers) as response:
            self._date(server, response, asked)
            if response.status_code == NOT_MODIFIED and headers:
                self.tally.unchanged += 1
                self._say(Change())
                return True
            if ask is Ask.DELTA and response.status_code in NO_DELTAS:
                log.info("registry %s gives no deltas", url)
                self.rounds.no_deltas()
                return None
            if ask is Ask.WHOLE and response.status_code == NOT_FOUND and self._path(ask) != "/apps":
                return await self._empty()  # how registries say that nobody is under a virtual address
            if response.status_code != OK:
                raise CopyError(f"status {response.status_code}")
            form = form_of(response.headers.get("content-type", ""))
            self.reader.skew = self.skews[server]
            if ask is Ask.WHOLE:
                return await self._whole(server, response, form)
            return await self._delta(server, response, form)

    def _date(self, server: int, response: httpx.Response, asked: float) -> None:
        try:
            date = parsedate_to_datetime(response.headers.get("date", ""))
        except (ValueError, TypeError):
            return
        date = date.replace(tzinfo=date.tzinfo or UTC)
        self.skews[server].heard(date.timestamp() * 1000.0, asked, self.clock())

    async def _empty(self) -> bool:
        await self._take(self.copy.begin(self.clock()).finish())
        return True

    async def _whole(self, server: int, response: httpx.Response, form: JsonForm | XmlForm) -> bool:
        loading = self.copy.begin(self.clock())
        async for raw in self._instances(response, form):
            loading.take(raw)
        self.tally.whole += 1
        change = loading.finish()
        tag = response.headers.get("etag")
        self.tags = {server: tag} if tag else {}
        await self._take(change)
        return self._right(form.head)

    async def _delta(self, server: int, response: httpx.Response, form: JsonForm | XmlForm) -> bool | None:
        raws: list[Raw] = []
        async for raw in self._instances(response, form):
            raws.append(raw)
            if len(raws) > MOST_DELTA:
                log.info("a delta of more than %d instances", MOST_DELTA)
                self.rounds.whole_next()
                return None
        self.tally.deltas += 1
        version = _version(form.head.get(VERSION))
        if version is not None:
            if version < self.versions.get(server, version):
                log.info("registry %s was restarted", self.terms.servers[server].url)
                self.copy.restarted(self.clock())
            self.versions[server] = version
        self.tags = {}
        await self._take(self.copy.delta(raws, self.clock()))
        return self._right(form.head)

    def _right(self, head: Raw) -> bool:
        """Whether the registry's count agrees with the copy; where it gives none, nothing contradicts."""
        count = head.get(HASHCODE)
        if not isinstance(count, str):
            return True
        right = count == self.copy.hashcode()
        self.tally.wrong += not right
        return right

    # ---- Reading in slices

    async def _instances(self, response: httpx.Response, form: JsonForm | XmlForm) -> AsyncIterator[Raw]:
        """The instances of a document. Raises FormError where it breaks off, at its end."""
        async for piece in self._pieces(response):
            for raw in form.feed(piece):
                yield raw
            await asyncio.sleep(0)
        for raw in form.end():
            yield raw

    async def _pieces(self, response: httpx.Response) -> AsyncIterator[bytes]:
        """The body unpacked, in slices. Guards against a small body that unpacks to fill the memory."""
        encoding = response.headers.get("content-encoding", "identity").strip().lower()
        if encoding not in ("identity", "gzip", "x-gzip", ""):
            raise CopyError(f"content encoding {encoding!r:.30}")
        unpack = zlib.decompressobj(16 + zlib.MAX_WBITS) if "gzip" in encoding else None
        size = 0
        async for data in response.aiter_raw(SLICE):
            self.tally.bytes += len(data)
            while data:
                if unpack:
                    try:
                        piece = unpack.decompress(data, SLICE)
                    except zlib.error as error:
                        raise FormError(f"no gzip: {error}") from error
                    data = unpack.unconsumed_tail
                else:
                    piece, data = data, b""
                size += len(piece)
                if size > MOST_BYTES:
                    raise CopyError(f"a document of more than {MOST_BYTES} bytes")
                if piece:
                    yield piece
        if unpack and not unpack.eof:
            raise FormError("the packed document is not whole")

    # ---- What has changed

    async def _take(self, change: Change) -> None:
        """Say what has changed, in pieces, as what is said holds the loop as well."""
        self.tally.unread += change.unread
        names = [line.partition(": ")[0] for line in change.told]
        if names and names != self.unread:
            log.warning("registry: %d instances can't be read: %.900s", change.unread, "; ".join(change.told))
        self.unread = names or self.unread
        self._say(change)
        await asyncio.sleep(0)

    def _say(self, change: Change) -> None:
        self.learned_ms = self.clock()
        self.say(Said(self.number, tuple(change.changed), tuple(change.left), tuple(change.absent)))


def _version(value: object) -> int | None:
    if isinstance(value, str) and value.strip().isdecimal():
        value = int(value.strip()[:18])
    return value if isinstance(value, int) and not isinstance(value, bool) else None
