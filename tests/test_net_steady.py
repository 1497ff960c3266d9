"""Peers that read slowly and steadily: what the kernel still holds for them is no standstill."""

import asyncio
import socket

import pytest
from fakes import FakeServer, array, call, node, run
from test_net_slow import small_buffers

from brackenloft import ServerEntry
from brackenloft.net import replies
from brackenloft.net import servers as servers_module
from brackenloft.obligations import STATED_S

pytestmark = pytest.mark.paced
VALUE = b"v" * 4_000_000
KERNEL = 1_000_000  # bytes that the kernel buffers: it tells of room in steps of a third of twice that
THREE_TIMES_THE_LEAST = 12_000  # bytes a second
PIECE, PAUSE_S = 32 * 1024, 0.03  # far above the least rates, and a step takes longer than the graces below
GRACE_S = 0.3


@pytest.fixture(autouse=True)
def short_graces(monkeypatch):
    monkeypatch.setattr(replies, "STALLED_S", GRACE_S)
    monkeypatch.setattr(servers_module, "SLOW_S", GRACE_S)


async def read_steadily(sock, size):
    """Read so many bytes in pieces, or to the end of the connection."""
    loop, got = asyncio.get_running_loop(), bytearray()
    while len(got) < size and (data := await loop.sock_recv(sock, PIECE)):
        got += data
        if len(got) < size // 2:
            await asyncio.sleep(PAUSE_S)
    return bytes(got)


def small_receiver():
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 64 * 1024)
    sock.setblocking(False)
    return sock


# Guards against cutting off a client that reads a long value slowly and steadily, in the middle of it.
def test_client_that_reads_slowly_and_steadily_gets_the_whole_value():
    async def test():
        async with node(FakeServer(lambda words: array(VALUE))) as gateway:
            gateway.clients.listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, KERNEL)
            loop, sock = asyncio.get_running_loop(), small_receiver()
            await loop.sock_connect(sock, gateway.clients.listener.getsockname())
            await loop.sock_sendall(sock, call(1, "buy"))
            reply = b"$%d\r\n%b\r\n" % (len(VALUE), VALUE)
            assert await read_steadily(sock, len(reply)) == reply
            sock.close()

    run(test())


# Guards against cutting off, for others that want its place, a client whose machine tells of room in steps.
def test_client_that_reads_steadily_is_not_cut_off_while_others_wait_for_room(monkeypatch):
    monkeypatch.setattr(replies, "STALLED_S", STATED_S)
    value = VALUE[:200_000]

    async def test():
        async with node(FakeServer(lambda words: array(value))) as gateway:
            monkeypatch.setattr(gateway.clients, "_waits_for_place", lambda: True)
            small_buffers(gateway)
            loop, sock = asyncio.get_running_loop(), socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32 * 1024)
            sock.setblocking(False)
            await loop.sock_connect(sock, gateway.clients.listener.getsockname())
            await loop.sock_sendall(sock, call(1, "buy"))
            began, got = loop.time(), bytearray()
            while len(got) < len(value) // 2 and (data := await loop.sock_recv(sock, 1200)):
                got += data
                await asyncio.sleep(max(0.0, began + len(got) / THREE_TIMES_THE_LEAST - loop.time()))
            while not got.endswith(b"\r\n") and (data := await loop.sock_recv(sock, PIECE)):
                got += data
            assert got == b"$%d\r\n%b\r\n" % (len(value), value)
            sock.close()

    run(test())


# Guards against giving up a server that reads a long command slowly and steadily.
def test_server_that_reads_slowly_and_steadily_gets_the_whole_command():
    async def test():
        loop, listener = asyncio.get_running_loop(), small_receiver()
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        async with node() as gateway:
            gateway.told((ServerEntry(1, "a"), listener.getsockname()))
            peer = await gateway.peer()
            peer.send(call(1, "buy", body=VALUE))
            sock, _ = await loop.sock_accept(listener)
            command = await read_steadily(sock, len(VALUE))
            while not command.endswith(b"\r\n") and (data := await loop.sock_recv(sock, PIECE)):
                command += data
            assert command.endswith(VALUE + b"\r\n")
            await loop.sock_sendall(sock, array(b"done"))
            assert await peer.reply() == b"done"
            sock.close()
        listener.close()

    run(test())
