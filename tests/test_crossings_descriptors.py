"""A real process under the system's own limit on descriptors, all of whose clients' places are taken."""

import asyncio
import json
import os
import socket
import sys
from contextlib import suppress
from pathlib import Path

from fakes import FakeDiscovery, FakeServer, array, call, chunk, listing, resp, row, run, until
from test_net_process import ROOT, SETTINGS, connect

from brackenloft.__main__ import OTHER_DESCRIPTORS, SERVERS_SHARE
from brackenloft.standins.ports import free_port

DESCRIPTORS = 96
PLACES = int((DESCRIPTORS - OTHER_DESCRIPTORS) * (1.0 - SERVERS_SHARE))  # of clients
CROWD = 2 * DESCRIPTORS  # clients that want one
REST_S = 0.2  # between two commands of a client: nobody is idle for so long that it may be closed
PROGRAM = f"""
import resource
from brackenloft import __main__ as program
resource.setrlimit(resource.RLIMIT_NOFILE, ({DESCRIPTORS}, {DESCRIPTORS}))
raise SystemExit(program.main())
"""


class Crowd:
    """Clients that keep the places which they have got."""

    def __init__(self):
        self.holding = set()
        self.asks = asyncio.Event()  # who holds the first place asks for something
        self.asked = asyncio.Event()
        self.answer = None

    async def hold(self, port):
        """One client: it speaks again and again until its connection ends, and then comes again."""
        while True:
            peer = await connect(port)
            with suppress(OSError, RuntimeError):  # the loop knows that it has ended, the client not yet
                while await peer.ask(resp("PING")) is not None:
                    self.holding.add(peer)
                    if self.asks.is_set():
                        self.asks.clear()
                        self.answer = asyncio.ensure_future(peer.ask(call(1, wait=60_000)))
                        self.asked.set()
                        await self.answer
                    await asyncio.sleep(REST_S)
            self.holding.discard(peer)


def test_watch_and_a_server_get_their_descriptors_while_clients_hold_all_of_theirs(tmp_path):
    """Discovery is down while the clients come, so that the watch connects after them."""

    async def test():
        server = await FakeServer(lambda words: array(b"v")).start()
        port, held = free_port(), socket.socket()
        held.bind(("127.0.0.1", 0))  # nobody listens: connects are refused
        agent_port = held.getsockname()[1]
        path = tmp_path / "config.json"
        path.write_text(
            json.dumps(
                {
                    "name": "n0",
                    "listen": f"127.0.0.1:{port}",
                    "discovery": f"127.0.0.1:{agent_port}",
                    "seed": "8c1f30d27a5be964",
                    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": DESCRIPTORS},
                    "known": {"generation": 1, "reset": True, "instances": []},
                    "settings": SETTINGS,
                }
            )
        )
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-c", PROGRAM, cwd=ROOT, env={**os.environ, "EDGE_CONFIG": str(path)}
        )
        crowd = Crowd()
        clients = [asyncio.ensure_future(crowd.hold(port)) for _ in range(CROWD)]
        try:
            await until(lambda: len(crowd.holding) >= PLACES)
            agent = FakeDiscovery()
            agent.server = await asyncio.start_server(agent._serve, sock=held)
            _, watch = await agent.watch()
            watch.write(chunk(listing(2, row("s-1", server.port), reset=True)))
            await until(lambda: len(crowd.holding) >= PLACES)
            crowd.asks.set()
            await crowd.asked.wait()
            assert await crowd.answer == b"v"
            assert len(list(Path(f"/proc/{process.pid}/fd").iterdir())) <= DESCRIPTORS
        finally:
            for each in clients:
                each.cancel()
            process.kill()
            await process.wait()

    run(test())
