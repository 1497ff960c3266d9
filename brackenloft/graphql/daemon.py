"""The front's own HTTP server, beside the RESP2 one on the same loop: uvicorn without signals and logs."""

from __future__ import annotations

import asyncio
import socket
import sys
from collections.abc import Generator
from contextlib import contextmanager, suppress

import uvicorn

from brackenloft.edge.edge import Edge
from brackenloft.graphql import config
from brackenloft.graphql.config import Loaded

BACKLOG = 512
IDLE_S = 5  # between two requests of a client's connection
CONNECTIONS = 256  # with a request on them at once; beyond it 503 is said at once
SWITCH_S = 0.0005  # a part of what a request takes here
HEAD = 32 * 1024  # bytes of a request's head


class _Server(uvicorn.Server):
    """Leaves signals to the program that it is a part of."""

    @contextmanager
    def capture_signals(self) -> Generator[None, None, None]:
        """None are taken."""
        yield


class Daemon:
    """A front that listens. OSError where the address can't be had."""

    def __init__(self, loaded: Loaded, edge: Edge) -> None:
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self.socket.bind(loaded.listen)
            self.socket.listen(BACKLOG)  # who comes before the server is up waits, and is not refused
        except OSError:
            self.socket.close()
            raise
        # A document is read in a thread: the loop has its turn after so long, in place of 5 ms.
        sys.setswitchinterval(SWITCH_S)
        self.address: tuple[str, int] = self.socket.getsockname()
        self.front = config.front(loaded, edge)
        self.server = _Server(
            uvicorn.Config(
                self.front,
                lifespan="off",
                log_config=None,
                access_log=False,
                http="h11",
                ws="none",
                server_header=False,
                backlog=BACKLOG,
                timeout_keep_alive=IDLE_S,
                limit_concurrency=CONNECTIONS,
                h11_max_incomplete_event_size=HEAD,
                timeout_graceful_shutdown=None,
            )
        )
        self.task = asyncio.get_running_loop().create_task(self.server.serve(sockets=[self.socket]))

    async def close(self, within_s: float) -> None:
        """Take no more, answer what was taken, end."""
        self.server.should_exit = True
        with suppress(TimeoutError):
            async with asyncio.timeout(within_s):
                await asyncio.shield(self.task)
        if not self.task.done():
            self.server.force_exit = True
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)
        self.front.close()
        self.socket.close()
