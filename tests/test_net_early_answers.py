"""Servers that answer before the whole command, or more than once: when a connection is used again."""

import asyncio
import socket

import pytest
from fakes import FakeServer, array, call, node, run, until
from test_net_servers import Ends

from brackenloft import ServerEntry, Status
from brackenloft.net import kernel
from brackenloft.net import servers as servers_module

BODY = b"b" * 1_000_000
TAKEN = 10_000  # bytes of the command that the server reads before it answers


def reader_of_little():
    """A listening socket whose connections hold a small part of the command."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.setblocking(False)
    sock.bind(("127.0.0.1", 0))
    sock.listen()
    return sock


async def read(sock, size):
    """So many bytes, or what comes before the end of the connection."""
    loop, got = asyncio.get_running_loop(), b""
    try:
        while len(got) < size and (data := await loop.sock_recv(sock, min(65536, size - len(got)))):
            got += data
    except ConnectionResetError:
        pass
    return got


VALUE = array(b"v" * 30)
LONG_VALUE = array(b"v" * 200_000)


# Guards against a request that is written into the body of the one before, and against values of nobody.
@pytest.mark.parametrize(
    ("answer", "rest"),
    [
        (b"-BUSY\r\n", b""),
        (b"-ERR failed\r\n", b""),
        (VALUE, b""),
        (LONG_VALUE[:1000], b""),
        (b"nonsense\r\n", b""),
        (b"-BU", b"SY\r\n"),
        (VALUE[:9], VALUE[9:]),
    ],
    ids=["busy", "error", "value", "long value", "noise", "busy in parts", "value in parts"],
)
def test_connection_is_not_used_again_when_its_answer_begins_before_the_command_is_written(answer, rest):
    async def test():
        loop = asyncio.get_running_loop()
        with reader_of_little() as listener:
            async with node() as gateway:
                gateway.told((ServerEntry(1, "a"), listener.getsockname()))
                peer = await gateway.peer()
                peer.send(call(1, "buy", body=BODY, wait=1000))
                first, _ = await loop.sock_accept(listener)
                got = await read(first, TAKEN)
                await loop.sock_sendall(first, answer)
                if not rest:  # it has ended the attempt when the next request comes
                    (connection,) = gateway.servers.connections
                    await until(lambda: connection.attempt is None)
                other = await gateway.peer()
                other.send(call(2, "buy", body=b"other"))
                while data := await read(first, 1000):
                    got += data
                    _, _, body = got.partition(b"$%d\r\n" % len(BODY))
                    assert (BODY + b"\r\n").startswith(body)  # and nothing of another request
                    if rest and body == BODY + b"\r\n":
                        await loop.sock_sendall(first, rest)
                second, _ = await loop.sock_accept(listener)
                assert (await read(second, 20)).startswith(b"*5\r\n$9\r\nCALL.POST")
                assert await peer.reply() in ("-BUSY", "-ERR failed")
                first.close()
                second.close()

    run(test())


# Guards against a connection that is taken for idle while the rest of a command waits to be written on it.
@pytest.mark.parametrize(
    ("answer", "status"),
    [
        (b"-BUSY\r\n", Status.FULL),
        (b"-ERR failed\r\n", Status.CONNECT_FAILED),
        (VALUE, Status.CONNECT_FAILED),
        (b"nonsense\r\n", Status.CONNECT_FAILED),
    ],
    ids=["busy", "error", "value", "noise"],
)
def test_attempt_behind_an_early_answer_goes_out_on_another_connection(answer, status):
    async def test():
        loop, long = asyncio.get_running_loop(), call(1, "buy", body=BODY)
        with reader_of_little() as listener:
            async with node() as gateway:
                gateway.told((ServerEntry(1, "a"), listener.getsockname()))
                ends = Ends()
                gateway.servers.start(1, ends.attempt(long))
                first, _ = await loop.sock_accept(listener)
                got = await read(first, TAKEN)
                await loop.sock_sendall(first, answer)
                assert await ends.status() is status
                await asyncio.sleep(2.0 * servers_module.REST_S)  # for which a connection is not used again
                gateway.servers.start(1, ends.attempt(call(2)))
                got += await read(first, len(long))
                assert long.startswith(got)
                second, _ = await loop.sock_accept(listener)
                assert await read(second, len(call(2))) == call(2)
                first.close()
                second.close()

    run(test())


# Guards against a copy of an answer that comes later than connections rest, and is taken for the next answer.
@pytest.mark.parametrize("when", ["behind", "idle", "looked at"])
def test_connections_of_a_server_that_has_sent_more_than_its_answers_rest_for_longer(when, monkeypatch):
    monkeypatch.setattr(servers_module, "REST_S", 0.0)
    monkeypatch.setattr(servers_module, "LONG_REST_S", 3600.0, raising=False)
    extra = array(b"extra")

    async def test():
        server = FakeServer(lambda words: array(words[2]) + (extra if when == "behind" else b""))
        async with node(server) as gateway:
            peer = await gateway.peer()
            assert await peer.ask(call(1)) == b"0000000000000001"
            if when == "idle":
                server.writers[0].write(extra)
                await server.until(lambda: server.ended == 1)
            elif when == "looked at":
                (connection,) = gateway.servers.connections
                connection.transport.pause_reading()
                server.writers[0].write(extra)
                await until(lambda: kernel.unread(connection.socket))
            when_asked = [call(number) for number in (2, 3, 4)]
            server.answer = lambda words: array(words[2])
            assert [await peer.ask(one) for one in when_asked] == [b"%016x" % n for n in (2, 3, 4)]
            assert len(set(server.by)) == 4

    run(test())
