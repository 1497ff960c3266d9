"""A keyed request is repeated only while the servers remember its key, whatever its connection waits for."""

import asyncio
import socket
import time

import pytest
from fakes import FakeServer, call, node, run

from brackenloft import Effect, KeyScope, Limits, RequestClass
from brackenloft.net.connecting import connect
from brackenloft.policy.attempts import KEY_MARGIN_MS

WINDOW_MS = 400.0 + KEY_MARGIN_MS
NEVER_MS = 100_000.0  # longer than any test: nothing but the window ends an attempt
LIMITS = Limits(max_attempts=3, can_cancel=True, connect_timeout_ms=NEVER_MS)
KEYED = (
    RequestClass("post", NEVER_MS, NEVER_MS, Effect.KEYED, key_scope=KeyScope.ZONE, key_memory_ms=WINDOW_MS),
    RequestClass("read", 2000.0, 4000.0, Effect.SAFE),
)


class Gate:
    """Connects to servers, the second connect and later ones only once it is open."""

    def __init__(self):
        self.connects = 0
        self.reached, self.open = asyncio.Event(), asyncio.Event()

    async def __call__(self, sock, address):
        self.connects += 1
        if self.connects > 1:
            self.reached.set()
            await self.open.wait()
        await connect(asyncio.get_running_loop(), sock, address)


def hang_up_on_posts(words):
    return b"" if words[0] == b"CALL.POST" else b"*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n"


# Guards against a second run by a repeat that waits for a connection until its key is forgotten.
@pytest.mark.parametrize("held_up", [False, True])
def test_repeat_whose_connection_comes_up_after_the_window_is_not_written(held_up):
    async def test():
        servers = [FakeServer(hang_up_on_posts) for _ in range(2)]
        async with node(*servers, classes=KEYED, limits=LIMITS) as gateway:
            gate = gateway.servers.connect = Gate()
            peer = await gateway.peer()
            peer.send(call(1, "post", wait=90_000))
            await gate.reached.wait()
            if held_up:
                gate.open.set()
                time.sleep(WINDOW_MS / 1000.0)  # the loop itself: the connection comes up meanwhile
            assert await peer.reply() == "-ERR failed"
            gate.open.set()
            for number in range(2, 6):
                assert await peer.ask(call(number, "read")) == b"v"
            names = [words[2] for server in servers for words in server.commands]
            assert names.count(b"%016x" % 1) == 1

    run(test())


# Guards against a second run by a repeat that its server reads slowly, until its key is forgotten.
@pytest.mark.parametrize("size", [20_000, 3_000_000])
def test_repeat_that_its_server_has_not_taken_by_the_end_of_the_window_never_comes_whole(size):
    async def test():
        loop = asyncio.get_running_loop()
        with socket.create_server(("127.0.0.1", 0)) as listener:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            listener.setblocking(False)
            first = FakeServer(hang_up_on_posts)
            async with node(first, classes=KEYED, limits=LIMITS) as gateway:
                peer = await gateway.peer()
                peer.send(call(1, "post", body=b"x" * size, wait=90_000))
                await first.until(lambda: first.commands)
                gateway.told(first.entry(1), (first.entry(2)[0], ("127.0.0.1", listener.getsockname()[1])))
                sock, _ = await loop.sock_accept(listener)
                assert await peer.reply() == "-ERR failed"
                come = 0
                try:
                    while data := await loop.sock_recv(sock, 1 << 16):
                        come += len(data)
                except ConnectionResetError:
                    pass
                assert 0 < come < size
                sock.close()

    run(test())
