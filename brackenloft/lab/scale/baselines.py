"""Two plain ways to distribute configuration, to compare with: whole documents, and all from the stores.

    python -m brackenloft.lab.scale.baselines server                     hands out the whole document
    python -m brackenloft.lab.scale.baselines pull MODE GATEWAYS PORT ...    gateways of one process

``whole``: a server answers a long poll with the whole document, as compressed JSON. ``stores``: each gateway
looks at a revision in a majority of stores every second and reads the whole document from as many when it has
changed. Either way a gateway decodes the document in one go, and here drops it: 570 of 12 MB are too many for
one machine. Nothing is verified, admitted or confirmed.
"""

from __future__ import annotations

import asyncio
import sys
import time
import zlib
from typing import Any

import aiohttp
import msgspec
import redis.asyncio as redis
import uvloop
from aiohttp import web

from brackenloft.configuration.model import Items
from brackenloft.lab.fleet import control
from brackenloft.lab.fleet.history import now_ms
from brackenloft.lab.scale import samples
from brackenloft.lab.scale.target import TARGET

WAIT_S, LOOK_S, PAUSE_S = 4.0, 1.0, 0.1
MAJORITY = 2  # of three stores
REVISION_KEY, DOCUMENT_KEY = "baseline:revision", "baseline:document"


def document(services: int, routes: int, tenants: int) -> bytes:
    """The whole document, as it is sent."""
    return zlib.compress(msgspec.json.encode(samples.configuration(services, routes, tenants)))


class WholeServer:
    """Answers long polls with the whole document."""

    def __init__(self) -> None:
        self.revision, self.data = 0, b""
        self.news = asyncio.Condition()

    async def put(self, data: bytes) -> None:
        """Another revision."""
        async with self.news:
            self.revision, self.data = self.revision + 1, data
            self.news.notify_all()

    async def get(self, request: web.Request) -> web.Response:
        """The document after a revision; 204 where there is none in time."""
        after = int(request.query["after"])
        async with self.news:
            try:
                async with asyncio.timeout(WAIT_S):
                    await self.news.wait_for(lambda: self.revision > after)
            except TimeoutError:
                return web.Response(status=204)
        return web.Response(body=self.data, headers={"X-Revision": str(self.revision)})


class Puller:
    """One gateway."""

    def __init__(self) -> None:
        self.revision = 0
        self.in_force_ms: dict[int, float] = {}
        self.received = 0
        self.longest_ms = 0.0

    def take(self, revision: int, data: bytes) -> None:
        """The whole document, read in one go."""
        self.received += len(data)
        began = time.thread_time()  # of the processor: other processes run on the same cores
        msgspec.json.decode(zlib.decompress(data), type=Items)
        self.longest_ms = max(self.longest_ms, (time.thread_time() - began) * 1000.0)
        self.revision = revision
        self.in_force_ms[revision] = now_ms()

    async def follow_server(self, session: aiohttp.ClientSession, port: int) -> None:
        """Long polls, for ever."""
        while True:
            try:
                async with session.get(
                    f"http://127.0.0.1:{port}/document", params={"after": str(self.revision)}
                ) as answer:
                    data = await answer.read()
                    if answer.status == 200:
                        self.take(int(answer.headers["X-Revision"]), data)
            except aiohttp.ClientError:
                await asyncio.sleep(PAUSE_S)

    async def follow_stores(self, clients: list[redis.Redis]) -> None:
        """Looks at a majority, for ever."""
        while True:
            looks = await asyncio.gather(*(_bytes(client, REVISION_KEY) for client in clients))
            newest = max(int(look or 0) for look in looks)
            if newest > self.revision:
                copies = await asyncio.gather(*(_bytes(client, DOCUMENT_KEY) for client in clients))
                self.received += sum(map(len, copies[1:]))
                self.take(newest, copies[0])
            await asyncio.sleep(LOOK_S)


async def _bytes(client: redis.Redis, key: str) -> bytes:
    found = await client.get(key)
    return found if isinstance(found, bytes) else b""


async def serve_documents() -> None:
    """A server; each order makes another revision of a document of the target's size."""
    whole, loop = WholeServer(), asyncio.get_running_loop()
    application = web.Application()
    application.router.add_get("/document", whole.get)
    runner = web.AppRunner(application, access_log=None)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    port: int = runner.addresses[0][1]
    data = document(TARGET.services, TARGET.routes, TARGET.tenants)
    tasks: set[asyncio.Task[None]] = set()

    def answer(order: dict[str, Any]) -> dict[str, Any]:
        if order["do"] == "publish":
            tasks.add(loop.create_task(whole.put(data)))
        return {"cpu_s": time.process_time(), "bytes": len(data)}

    await control.serve({"port": port}, answer)
    await runner.cleanup()


async def pull(mode: str, gateways: int, ports: list[int]) -> None:
    """Gateways, spread over the servers, or each at a majority of stores."""
    pullers = [Puller() for _ in range(gateways)]
    tasks, sessions, clients = [], [], []
    for number, puller in enumerate(pullers):
        if mode == "whole":
            session = aiohttp.ClientSession()
            sessions.append(session)
            tasks.append(asyncio.ensure_future(puller.follow_server(session, ports[number % len(ports)])))
        else:
            own = [redis.Redis(host="127.0.0.1", port=ports[(number + n) % len(ports)], protocol=2)
                   for n in range(MAJORITY)]  # fmt: skip
            clients += own
            tasks.append(asyncio.ensure_future(puller.follow_stores(own)))

    def answer(order: dict[str, Any]) -> dict[str, Any]:
        revision = order.get("revision", 1)
        return {
            "reached": [puller.in_force_ms.get(revision) for puller in pullers],
            "received": sum(puller.received for puller in pullers),
            "longest_ms": max(puller.longest_ms for puller in pullers),
            "cpu_s": time.process_time(),
            "failed": sum(task.done() for task in tasks),
        }

    await control.serve({}, answer)
    for task in tasks:
        task.cancel()
    for session in sessions:
        await session.close()
    for client in clients:
        await client.aclose()


if __name__ == "__main__":
    control.die_with_parent()
    if sys.argv[1] == "server":
        uvloop.run(serve_documents())
    else:
        uvloop.run(pull(sys.argv[2], int(sys.argv[3]), [int(word) for word in sys.argv[4:]]))
