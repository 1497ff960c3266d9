"""A small host application: FastAPI under uvicorn, with a gateway inside. Also a program of its own, which
takes the place of the daemon in test_net_process.py: ``python tests/host.py uvloop|asyncio``."""

from __future__ import annotations

import asyncio
import json
import logging
import os
import signal
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, nullcontext

import uvicorn
import uvloop
from fastapi import FastAPI

from brackenloft.__main__ import ACCEPT_S, Config, _address, _memory_plan, _room, _span_s
from brackenloft.edge import Edge


class Server(uvicorn.Server):
    """Leaves signals to who runs it."""

    def capture_signals(self):
        return nullcontext()

    async def main_loop(self):
        """As uvicorn's, but without looking at the clock ten times a second."""
        self.leave = asyncio.Event()
        await self.leave.wait()


def application(edge: Edge, opened, within_s: float = 0.0, accept_s: float = 0.0) -> FastAPI:
    """An application that owns a gateway for as long as it runs."""

    @asynccontextmanager
    async def lifespan(app: FastAPI) -> AsyncIterator[None]:
        opened(edge.open())
        yield
        await edge.close(within_s, accept_s)

    app = FastAPI(lifespan=lifespan)

    @app.get("/ready")
    async def ready() -> dict[str, bool]:
        return {"ready": edge.ready}

    return app


@asynccontextmanager
async def hosted(edge: Edge) -> AsyncIterator[Edge]:
    """The host application round this gateway, on the running loop."""
    server = Server(uvicorn.Config(application(edge, lambda _: None), port=0, log_level="error"))
    task = asyncio.get_running_loop().create_task(server.serve())
    while not hasattr(server, "leave") and not task.done():
        await asyncio.sleep(0)
    try:
        yield edge
    finally:
        server.leave.set()
        await task


async def program() -> None:
    """Serve as the daemon would, told by the same variables and the same signals."""
    config, loop = Config.load(dict(os.environ)), asyncio.get_running_loop()

    def opened(edge: Edge) -> None:
        edge.known(config.known)
        edge.watch(config.discovery)
        edge.listen(*config.listen)

    def reload() -> None:
        try:
            edge.watch(_address(json.loads(config.path.read_text())["discovery"]))
        except (OSError, ValueError, AttributeError) as error:
            logging.error("%r", error)

    edge = Edge(config.settings, _room(config, _memory_plan(config)), config.seed)
    app = application(edge, opened, _span_s(config.settings), ACCEPT_S)
    server = Server(uvicorn.Config(app, port=0, log_level="error"))
    loop.add_signal_handler(signal.SIGTERM, lambda: server.leave.set())
    loop.add_signal_handler(signal.SIGHUP, reload)
    await server.serve()


if __name__ == "__main__":
    {"uvloop": uvloop.run, "asyncio": asyncio.run}[sys.argv[1]](program())
