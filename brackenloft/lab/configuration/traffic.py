"""Traffic through the gateways of a trial: a node that echoes, and tenants that ask one after the other."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Callable

import hiredis

from brackenloft.interface import Effect, RequestClass
from brackenloft.lab.configuration.changes import tenant_names
from brackenloft.standins.load import Member, command, exchange, word
from brackenloft.standins.peer import Peer, array

READ = RequestClass("read", 1000.0, 2000.0, Effect.SAFE)
EVERY_S = 0.02  # between two requests of a gateway
ANSWER_S = 3.0  # a gateway that is stopped or gone is asked on a new connection after this
FILE_PLAN = "file"  # named in each request; a tenant's own plan counts before it


class Echo(asyncio.Protocol):
    """A node that answers each command with its id, at once."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport, self.reader = transport, hiredis.Reader()

    def data_received(self, data: bytes) -> None:
        self.reader.feed(data)
        while (words := self.reader.gets()) is not False:
            self.transport.write(array(words[2], b"used=10", b"queue=0,util=0.1"))  # type: ignore[attr-defined]


async def open_node() -> asyncio.Server:
    """A node on a port of the system's choice."""
    return await asyncio.get_running_loop().create_server(Echo, "127.0.0.1", 0)


class Traffic:
    """Requests to one gateway until it is cancelled; ``port`` is asked anew for each connection."""

    def __init__(self, port: Callable[[], int], tenants: int, gateways: int, seed: str) -> None:
        self.port, self.gateways = port, gateways
        self.tenants = tenant_names(tenants)
        self.dice = random.Random(seed)
        self.answers: Counter[str] = Counter()

    async def run(self) -> None:
        """One request after the other."""
        peer: Peer | None = None
        while True:
            await asyncio.sleep(self.dice.uniform(0.5, 1.5) * EVERY_S)
            customer = int(self.dice.choice(self.tenants), 16)
            text = command(
                Member(customer, FILE_PLAN, 0.0, (READ,)), READ, self.dice.getrandbits(62), self.gateways
            )
            try:
                async with asyncio.timeout(ANSWER_S):
                    peer, answer = await exchange(self.port(), peer, text)
            except TimeoutError:
                peer, answer = None, None
            self.answers[word(answer)] += 1
