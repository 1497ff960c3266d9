"""The watch on discovery: kept open, moved on request; its objects become lists for the decisions."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from itertools import count
from typing import Any, cast

import httptools

from brackenloft import interface as api
from brackenloft.net.address import Address
from brackenloft.net.objects import MalformedError, Objects

log = logging.getLogger(__name__)

# One clock for silence: what a silent watch misses counts as told after 6 s of silence. An empty line comes
# every 2 s, so a watch without one for SILENT_S is dead; another is asked at once and answers at once, or is
# late after FIRST_S: one more is asked beside it. An object that has begun comes on at once or never: WHOLE_S
# for each PROGRESS bytes, whatever beats come meanwhile. Two dead ones in a row, of any kind, leave time for
# a third (lab/watches.py).
SILENT_S = 2.5
FIRST_S = 1.0
WHOLE_S = 1.0
MOST_CALLS = 4  # at once, of which none has been answered: an agent that is slow is heard all the same
PROGRESS = 16 * 1024
BACKOFF_S = (0.05, 1.0)  # before another watch, first and at most
CONNECT_S = 0.5  # the agent is on the same machine
LARGEST_PORT = 65_535
BAD = (ValueError, KeyError, TypeError, AttributeError, OverflowError)  # what reading a malformed list raises
STATES = {
    "Ready": api.ServerState.READY,
    "Terminating": api.ServerState.DRAINING,
    "Gone": api.ServerState.GONE,
}
News = Callable[[api.ServerList, dict[int, Address]], None]


class Roster:
    """Reads discovery's lists; servers get numbers, as the decisions know them."""

    def __init__(self) -> None:
        self.numbers: dict[str, int] = {}
        self.unused = count(1)  # never used again: an attempt on a server that is gone may still be out

    def read(self, document: Any, known: bool = False) -> tuple[api.ServerList, dict[int, Address]]:
        """A list and the addresses in it; raises one of BAD if it is malformed."""
        full = known or bool(document["reset"])
        entries, addresses = [], {}
        numbers = dict(self.numbers)
        for row in document["instances"]:
            entry, address = self._entry(row, numbers)
            entries.append(entry)
            addresses[entry.server] = address
        generation = int(document["generation"])
        if full:
            listed = {row["instanceId"] for row in document["instances"]}
            numbers = {name: number for name, number in numbers.items() if name in listed}
        for row in document["instances"]:
            if row["lifecycle"] == "Gone":
                numbers.pop(row["instanceId"], None)
        self.numbers = numbers  # only now: nothing is taken over from a document that is malformed further on
        kind = api.ListKind.CACHED if known else api.ListKind.FULL if full else api.ListKind.CHANGES
        return api.ServerList(kind, tuple(entries), generation), addresses

    def _entry(self, row: dict[str, Any], numbers: dict[str, int]) -> tuple[api.ServerEntry, Address]:
        host, _, text = row["hostPort"].rpartition(":")
        port, name = int(text), row["instanceId"]
        if not host or not 0 < port <= LARGEST_PORT or not isinstance(name, str):
            raise ValueError(f"no address of an instance: {row['hostPort']!r:.60}")
        number = numbers.get(name)
        if number is None:
            number = numbers[name] = next(self.unused)
        entry = api.ServerEntry(
            server=number,
            zone=row["zone"],
            kind=row.get("machineType", ""),
            cell=row.get("cell", 0),
            state=STATES[row["lifecycle"]],
            size=row.get("weight", 1.0),
            started_ms=float(row.get("startedAtMs") or 0.0),
        )
        return entry, (host, port)


class Watch(asyncio.Protocol):
    """One HTTP exchange: a chunked answer with JSON objects, on a line each or indented."""

    def __init__(self, feed: Feed, target: str) -> None:
        self.feed, self.target = feed, target
        self.parser = httptools.HttpResponseParser(self)
        self.objects = Objects()
        self.transport: asyncio.Transport | None = None
        self.silent: asyncio.TimerHandle | None = None
        self.counted = 0  # bytes of an object that is not whole, when they were last progress
        self.closed = False
        loop = asyncio.get_running_loop()
        self.done: asyncio.Future[None] = loop.create_future()
        self.late: asyncio.Future[None] = loop.create_future()  # nothing has come in time, or it has ended

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # uvloop's transports are not asyncio.Transport by class: no isinstance here
        self.transport = cast(asyncio.Transport, transport)
        host, port = self.feed.address
        self.transport.write(
            f"GET {self.target} HTTP/1.1\r\nHost: {host}:{port}\r\nAccept: application/json\r\n\r\n".encode()
        )
        self.silent = asyncio.get_running_loop().call_later(FIRST_S, self._is_late)

    def _is_late(self) -> None:
        log.warning("discovery at %s:%d has not answered yet", *self.feed.address)
        if not self.late.done():
            self.late.set_result(None)

    def _wait(self, seconds: float) -> None:
        """Guards against a watch that has died without a word: nothing for longer than a beat ends it."""
        if self.silent:
            self.silent.cancel()
        self.silent = asyncio.get_running_loop().call_later(seconds, self.close, "silent")

    def close(self, why: str) -> None:
        """End the exchange; what still comes on it counts no more."""
        log.warning("the watch on discovery at %s:%d ended: %s", *self.feed.address, why)
        self.closed = True
        if self.transport:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            self.close(f"not HTTP: {error}")

    def on_headers_complete(self) -> None:
        status = self.parser.get_status_code()
        if status != 200:
            self.close(f"status {status}")

    def on_body(self, body: bytes) -> None:
        if self.closed or self.parser.get_status_code() != 200:
            return
        self.feed.answered_by(self)
        whole = False
        try:
            for document in self.objects.feed(body):
                whole = True
                self.feed.take(document, self)
        except MalformedError as error:
            self.feed.malformed(error, self)
        if not self.closed:
            self._came(whole)

    def _came(self, whole: bool) -> None:
        """It lives, unless all that came are beats behind a part of an object."""
        pending = self.objects.pending
        if not pending:
            self.counted, self.feed.backoff_s = 0, BACKOFF_S[0]
            self._wait(SILENT_S)
        elif whole or not self.counted or pending - self.counted >= PROGRESS:
            self.counted = pending
            self._wait(WHOLE_S)

    def on_message_complete(self) -> None:
        self.close("the answer is complete")

    def connection_lost(self, exc: Exception | None) -> None:
        if self.silent:
            self.silent.cancel()
        for outcome in (self.done, self.late):
            if not outcome.done():
                outcome.set_result(None)


class Feed:
    """Keeps a watch open at one address, each from where the last one there ended."""

    def __init__(self, discovery: Discovery, address: Address) -> None:
        self.discovery, self.address = discovery, address
        self.backoff_s = BACKOFF_S[0]
        self.generation: int | None = None  # nothing: the whole list is asked for
        self.ended = False
        self.calls: list[Watch] = []  # that are open, the oldest first
        self.watch: Watch | None = None  # the one that was answered
        self.task = asyncio.get_running_loop().create_task(self._run())

    def malformed(self, error: Exception, watch: Watch) -> None:
        """What came can't be read: the whole list is asked for."""
        log.error("malformed list from discovery: %r", error)
        self.generation = None
        watch.close("malformed list")

    def take(self, document: dict[str, Any], watch: Watch) -> None:
        """One object of the watch."""
        if self.ended or watch.closed:
            return
        try:
            listing, addresses = self.discovery.roster.read(document)
        except BAD as error:
            self.malformed(error, watch)
            return
        self.backoff_s = BACKOFF_S[0]
        self.generation = listing.version
        self.discovery.spoke(self, listing, addresses)

    def end(self) -> None:
        """Watch no more."""
        self.ended = True
        self.task.cancel()
        self._close_calls("it is asked no more")

    def answered_by(self, watch: Watch) -> None:
        """The first call that is answered is the watch; the others are given up."""
        if self.watch is not watch:
            self.watch = watch
            self._close_calls("another call was answered", but=watch)

    def _close_calls(self, why: str, but: Watch | None = None) -> None:
        for call in self.calls:
            if call is not but and not call.closed:
                call.close(why)

    async def _run(self) -> None:
        while True:
            if self.watch is None:
                await self._call()
            if self.watch:
                await self.watch.done
                self.watch = None
            await asyncio.sleep(self.backoff_s)
            self.backoff_s = min(BACKOFF_S[1], self.backoff_s * 2.0)

    async def _call(self) -> None:
        """Ask once more, beside the calls that are late; until this one is late too, or one has ended."""
        self.calls = [call for call in self.calls if not call.done.done()]
        if len(self.calls) >= MOST_CALLS:
            self.calls.pop(0).close("silent")
        try:
            async with asyncio.timeout(CONNECT_S):
                _, call = await asyncio.get_running_loop().create_connection(self._new_watch, *self.address)
            await call.late
        except (OSError, TimeoutError) as error:
            log.warning("discovery can't be reached: %r", error)

    def _new_watch(self) -> Watch:
        generation = self.generation
        origin = "" if generation is None else f"&from={generation}"
        call = Watch(self, f"/discovery/hosts?watch=1{origin}")
        self.calls.append(call)
        return call


class Discovery:
    """What discovery says, from the address that was named last and has spoken."""

    def __init__(self, news: News) -> None:
        self.news, self.roster = news, Roster()
        self.feed: Feed | None = None
        self.next: Feed | None = None  # named last, has not spoken yet

    def known(self, document: Any) -> None:
        """The list as the configuration has it; it may be old."""
        try:
            self.news(*self.roster.read(document, known=True))
        except BAD as error:
            log.error("malformed known list: %r", error)

    def told(self, document: Any) -> None:
        """The list as another process of this gateway has it now."""
        try:
            self.news(*self.roster.read(document))
        except BAD as error:
            log.error("malformed list: %r", error)

    def watch(self, address: Address) -> None:
        """Watch at this address from now on.

        Guards against a gap while discovery moves: the feed before serves until this one has spoken, and
        this one asks for the whole list, as versions of another agent may tell nothing here.
        """
        if self.next:
            self.next.end()
        self.next = Feed(self, address)

    def spoke(self, feed: Feed, listing: api.ServerList, addresses: dict[int, Address]) -> None:
        """News from a feed; the first of a new one ends the one before."""
        if feed is self.next:
            if self.feed:
                self.feed.end()
            self.feed, self.next = feed, None
        self.news(listing, addresses)

    def end(self) -> None:
        """Watch no more."""
        for feed in (self.feed, self.next):
            if feed:
                feed.end()
