"""The registry on a loopback socket: REST operations over HTTP/1.1, with scripted faults."""

from __future__ import annotations

import asyncio
import gzip
import json
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from email.utils import formatdate
from urllib.parse import parse_qs, unquote, urlsplit

from brackenloft.standins.eureka.documents import compact, show, single, xml
from brackenloft.standins.eureka.lease import Info
from brackenloft.standins.eureka.registry import Registry
from brackenloft.standins.ports import ReservedPort

MOST_BODY = 1 << 20


@dataclass(slots=True)
class Faults:
    """What goes wrong at the skin; named as the tests that cause them are."""

    status: int = 0  # answered to everything
    cut: float = 0.0  # of each body, the share after which the connection ends
    byte_s: float = 0.0  # between two bytes of each body
    wait: asyncio.Event | None = None  # before each answer
    body: bytes | None = None  # in place of each body
    empty: bool = False  # lists are empty
    no_delta: bool = False
    lose_deltas: bool = False  # they come, but without any instance
    single: bool = False  # lists of one are that one alone
    no_count: bool = False  # no apps__hashcode
    no_gzip: bool = False
    encoding: str = ""  # said, whatever the body is
    headers: dict[str, str] = field(default_factory=dict)


class RegistryServer:
    """The book on a socket. ``cache_s``: how old lists may be that are given out, 0 for none."""

    def __init__(self, registry: Registry, base: str = "/eureka/v2", cache_s: float = 0.0) -> None:
        self.registry, self.base, self.cache_s = registry, base, cache_s
        self.faults = Faults()
        self.asked: list[tuple[str, str]] = []  # method and path of each question
        self.cache: dict[str, tuple[float, Info]] = {}
        self.writers: set[asyncio.StreamWriter] = set()
        self.heard = asyncio.Condition()

    async def start(self, port: int = 0) -> RegistryServer:
        """Listen on loopback."""
        if not port:
            self.reserved = ReservedPort()
        self.port: int = port or self.reserved.number
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port, limit=MOST_BODY)
        self.url = f"http://127.0.0.1:{self.port}{self.base}"
        return self

    async def close(self) -> None:
        """Listen no more; connections end."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def until_asked(self, number: int) -> None:
        """Until so many questions have come."""
        async with self.heard:
            await self.heard.wait_for(lambda: len(self.asked) >= number)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        with suppress(OSError, EOFError, asyncio.LimitOverrunError, asyncio.CancelledError):
            while await self._exchange(reader, writer):
                pass
        self.writers.discard(writer)
        writer.close()

    async def _exchange(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.split("\r\n")
        method, target, _ = first.split(" ", 2)
        parts = (line.partition(":") for line in lines)
        headers = {key.strip().lower(): value.strip() for key, _, value in parts}
        body = await reader.readexactly(min(MOST_BODY, int(headers.get("content-length", "0"))))
        faults = self.faults
        if faults.wait:
            await faults.wait.wait()
        url = urlsplit(target)
        path = unquote(url.path)
        status, document, root = 404, None, "applications"
        if path.startswith(self.base + "/"):
            places = path[len(self.base) + 1 :].strip("/").split("/")
            query = {key: values[0] for key, values in parse_qs(url.query).items()}
            try:
                status, document, root = self._answer(method, places, query, headers, body)
            except (ValueError, KeyError, TypeError):
                status = 400
        await self._write(writer, faults.status or status, document, root, headers)
        async with self.heard:
            self.asked.append((method, target))
            self.heard.notify_all()
        return not faults.cut

    # ---- Operations

    def _answer(
        self,
        method: str,
        places: list[str],
        query: dict[str, str],
        headers: dict[str, str],
        body: bytes,
    ) -> tuple[int, Info | None, str]:
        book = self.registry
        if method == "GET":
            return self._get(places)
        if places[0] != "apps" or len(places) < 2:
            return 404, None, ""
        app, rest = places[1], places[2:]
        if method == "POST" and not rest:
            info = json.loads(body)["instance"]
            info["hostName"]  # noqa: B018  (a registration without one is refused)
            book.register(app, info)
            return 204, None, ""
        if method == "DELETE" and len(rest) == 1:
            return (200 if book.cancel(app, rest[0]) else 404), None, ""
        if method == "PUT" and len(rest) == 1:
            return (200 if book.renew(app, rest[0], query.get("status")) else 404), None, ""
        if method == "PUT" and rest[1:] == ["status"]:
            return (200 if book.override(app, rest[0], query["value"]) else 404), None, ""
        if method == "DELETE" and rest[1:] == ["status"]:
            return (200 if book.override(app, rest[0], None) else 404), None, ""
        if method == "PUT" and rest[1:] == ["metadata"]:
            return (200 if book.metadata(app, rest[0], query) else 404), None, ""
        return 404, None, ""

    def _get(self, places: list[str]) -> tuple[int, Info | None, str]:
        book, where = self.registry, "/".join(places)
        if where == "apps":
            return 200, self._cached(where, book.whole), "applications"
        if where == "apps/delta":
            if self.faults.no_delta:
                return 404, None, ""
            document = self._cached(where, book.delta)
            if self.faults.lose_deltas:
                document = {**document, "application": []}
            return 200, document, "applications"
        if places[0] in ("vips", "svips") and len(places) == 2:
            found = book.under(places[1], places[0] == "svips")
            return (200 if found else 404), found, "applications"
        if places[0] == "apps" and len(places) == 2:
            found = book.app(places[1])
            return (200 if found else 404), found, "application"
        name = tuple(places[1:]) if places[0] == "apps" else None
        if places[0] == "instances" and len(places) == 2:
            name = next((key for key in book.leases if key[1] == places[1]), None)
        if name and len(name) == 2 and (name[0].upper(), name[1]) in book.leases:
            key = (name[0].upper(), name[1])
            return 200, show(key, book.leases[key]), "instance"
        return 404, None, ""

    def _cached(self, where: str, make: Callable[[], Info]) -> Info:
        now = asyncio.get_running_loop().time()
        made, document = self.cache.get(where, (-1e9, {}))
        if now - made >= self.cache_s:
            document = make()
            self.cache[where] = (now, document)
        if self.faults.empty:
            document = {**document, "application": [], "apps__hashcode": ""}
        if self.faults.no_count:
            document = {key: value for key, value in document.items() if key != "apps__hashcode"}
        return document

    # ---- Writing

    def _encode(self, document: Info, root: str, headers: dict[str, str]) -> tuple[str, bytes]:
        if headers.get("x-eureka-accept") == "compact" and root == "applications":
            document = compact(document)
        if "json" not in headers.get("accept", ""):  # XML unless JSON is asked for
            return "application/xml", xml(root, document).encode()
        if self.faults.single and root == "applications":
            document = single(document)
        return "application/json", json.dumps({root: document}).encode()

    async def _write(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        document: Info | None,
        root: str,
        headers: dict[str, str],
    ) -> None:
        kind, body = ("text/plain", b"") if document is None else self._encode(document, root, headers)
        faults, more = self.faults, {"Date": formatdate(self.registry.now() / 1000.0, usegmt=True)}
        if faults.body is not None and document is not None:
            body = faults.body
        if body and "gzip" in headers.get("accept-encoding", "") and not faults.no_gzip:
            body, more["Content-Encoding"] = gzip.compress(body, 1), "gzip"
        if faults.encoding:
            more["Content-Encoding"] = faults.encoding
        more |= {"Content-Type": kind, "Content-Length": str(len(body)), **faults.headers}
        lines = "".join(f"{key}: {value}\r\n" for key, value in more.items())
        writer.write(f"HTTP/1.1 {status} Told\r\n{lines}\r\n".encode())
        if faults.cut:
            body = body[: int(len(body) * faults.cut)]
        if not faults.byte_s:
            writer.write(body)
        for byte in body if faults.byte_s else b"":
            writer.write(bytes([byte]))
            await writer.drain()
            await asyncio.sleep(faults.byte_s)
        await writer.drain()
