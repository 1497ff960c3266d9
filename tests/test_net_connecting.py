"""Connects to servers: no name look-up for a numeric address, errors as the kernel has them."""

import asyncio
import socket

import pytest
from fakes import FakeServer, call, node, run

from brackenloft.net.connecting import connect, is_numeric


class LoopWithoutLookUps:
    """A loop whose name look-ups, which ``sock_connect`` of uvloop makes for every address, never end."""

    def __init__(self, loop):
        self.loop = loop

    def __getattr__(self, name):
        return getattr(self.loop, name)

    async def sock_connect(self, sock, address):
        await asyncio.Event().wait()


def plain_socket():
    sock = socket.socket()
    sock.setblocking(False)
    return sock


def test_server_at_a_numeric_address_is_reached_though_no_look_up_ever_ends():
    async def test():
        server = FakeServer()
        async with node(server) as gateway:
            loop = LoopWithoutLookUps(asyncio.get_running_loop())
            gateway.servers.loop = loop
            gateway.servers.connect = lambda sock, address: connect(loop, sock, address)
            assert await (await gateway.peer()).ask(call(1)) == b"%016x" % 1

    run(test())


def test_server_is_asked_by_the_connect_that_makes_no_look_up():
    async def test():
        server = FakeServer()
        async with node(server) as gateway:
            assert gateway.servers.connect.func is connect
            assert await (await gateway.peer()).ask(call(1)) == b"%016x" % 1

    run(test())


def test_refused_connect_raises_the_kernels_error():
    async def test():
        with socket.create_server(("127.0.0.1", 0)) as listener:
            address = listener.getsockname()
        with plain_socket() as sock, pytest.raises(ConnectionRefusedError):
            await connect(asyncio.get_running_loop(), sock, address)

    run(test())


def test_connect_that_is_given_up_leaves_nothing_on_the_loop():
    async def test():
        loop = asyncio.get_running_loop()
        with socket.create_server(("127.0.0.1", 0), backlog=0) as listener:
            address = listener.getsockname()
            waiting = [plain_socket() for _ in range(4)]  # more than the backlog holds
            connects = [asyncio.ensure_future(connect(loop, sock, address)) for sock in waiting]
            _, hanging = await asyncio.wait(connects, return_when=asyncio.FIRST_COMPLETED)
            assert hanging
            for task in hanging:
                task.cancel()
            await asyncio.gather(*connects, return_exceptions=True)
            assert not any(loop.remove_writer(sock) for sock in waiting)
            for sock in waiting:
                sock.close()

    run(test())


def test_host_that_is_a_name_is_looked_up():
    async def test():
        with socket.create_server(("127.0.0.1", 0)) as listener, plain_socket() as sock:
            await connect(asyncio.get_running_loop(), sock, ("localhost", listener.getsockname()[1]))
            assert sock.getpeername() == listener.getsockname()

    run(test())


@pytest.mark.parametrize(
    ("host", "numeric"), [("127.0.0.1", True), ("localhost", False), ("1.2.3", False), ("::1", False)]
)
def test_numeric_hosts(host, numeric):
    assert is_numeric(host) is numeric
