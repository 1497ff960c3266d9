"""Clients that leave at a moment at which nobody reads what they send: nothing goes out for them any more."""

import asyncio
import os
import socket
import struct
from dataclasses import replace

import pytest
from fakes import SETTINGS, FakeServer, array, call, node, resp, run, until

from brackenloft import Plan
from brackenloft.net import call as net_call
from brackenloft.net import client_memory, read_turns
from brackenloft.net import servers as net_servers
from brackenloft.net.kernel import has_gone

ONE_AT_A_TIME = (Plan("free"), Plan("one", max_in_flight=1))
NO_CANCELS = replace(SETTINGS.limits, can_cancel=False)


def leave(peer, how):
    if how == "unread bytes before its end":
        peer.send(call(90, plan="one"), call(91, plan="one")[:20])
    if how == "reset":
        sock = peer.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    if how == "half-close":
        peer.writer.write_eof()
    else:
        peer.writer.close()


@pytest.mark.parametrize("ahead", [0, client_memory.MOST_AHEAD])
@pytest.mark.parametrize("how", ["close", "half-close", "reset", "unread bytes before its end"])
def test_client_that_leaves_while_its_request_is_parked_is_not_sent_on(how, ahead, monkeypatch):
    monkeypatch.setattr(client_memory, "MOST_AHEAD", ahead)  # with none it is not read meanwhile

    async def test():
        server = FakeServer(lambda words: None)
        async with node(server, plans=ONE_AT_A_TIME) as gateway:
            first, second = await gateway.peer(), await gateway.peer()
            first.send(call(1, "buy", plan="one"))
            await server.until(lambda: len(server.commands) == 1)
            second.send(call(2, "buy", plan="one"))  # waits for the customer's only place
            await until(lambda: any(client.blocked for client in gateway.clients.connections))
            assert any(client.paused for client in gateway.clients.connections) == (not ahead)
            leave(second, how)
            await until(lambda: f"{2:016x}" not in gateway.driver.calls)
            assert gateway.edge.counters()["gone"] == 1  # not given up as nobody took it
            server.writers[server.by[0]].write(b"*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n")
            assert await first.reply() == b"v"
            first.send(call(3, "buy", plan="one"))
            await server.until(lambda: len(server.commands) == 2)
            assert int(server.commands[1][2], 16) == 3
            await until(lambda: len(gateway.clients.connections) == 1)
            assert not gateway.clients.departures.descriptors

    run(test())


@pytest.mark.parametrize("limits", [SETTINGS.limits, NO_CANCELS])
@pytest.mark.parametrize("where", ["waits for a connection", "its connection comes up late"])
def test_attempt_that_was_not_written_is_never_when_its_client_leaves(where, limits, monkeypatch):
    async def test():
        server, up = FakeServer(), asyncio.Event()
        async with node(server, limits=limits) as gateway:
            if where == "waits for a connection":
                monkeypatch.setattr(net_servers, "COMING_UP", 0)
            else:
                late(gateway.servers, up)
            peer = await gateway.peer()
            peer.send(call(1, "buy"))
            await until(lambda: bool(gateway.driver.calls))
            peer.writer.close()
            await until(lambda: not gateway.clients.connections)
            assert not gateway.driver.calls
            monkeypatch.undo()
            up.set()
            assert await (await gateway.peer()).ask(call(2)) == b"%016x" % 2
            assert [int(words[2], 16) for words in server.commands] == [2]

    run(test())


def late(servers, up):
    """Connects come up when ``up`` is set."""
    connect = servers.connect

    async def connect_late(sock, address):
        await up.wait()
        await connect(sock, address)

    servers.connect = connect_late


def test_request_that_was_answered_is_not_sent_on_a_connection_that_comes_up_after_that():
    """The last answer is given some ticks before the client's time is up."""

    async def test():
        server, up = FakeServer(), asyncio.Event()
        async with node(server, limits=NO_CANCELS, tick_ms=1000.0) as gateway:
            late(gateway.servers, up)
            peer = await gateway.peer()
            assert (await peer.ask(call(1, "buy", wait=2100))).startswith("-")
            assert not gateway.driver.calls
            up.set()
            assert await (await gateway.peer()).ask(call(2)) == b"%016x" % 2
            assert [int(words[2], 16) for words in server.commands] == [2]

    run(test())


def test_half_close_behind_which_answers_are_still_to_be_written_is_the_clients_end_at_once():
    async def test():
        value = array(b"x" * 60_000)
        server = FakeServer(lambda words: None if words[0] == b"CALL.POST" else value)
        async with node(server, plans=ONE_AT_A_TIME) as gateway:
            first = await gateway.peer()
            first.send(call(1, "buy", plan="one"))
            await server.until(lambda: len(server.commands) == 1)
            second = await gateway.peer()
            await until(lambda: len(gateway.clients.connections) == 2)
            client = list(gateway.clients.connections)[1]
            client.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            client.transport.set_write_buffer_limits(1 << 24)  # it is read on all the same
            second.send(*(call(number) for number in range(10, 40)), call(2, "buy", plan="one"))
            await until(lambda: client.transport.get_write_buffer_size() > 0 and len(client.slots) == 1)
            second.writer.write_eof()
            await until(lambda: len(gateway.driver.calls) == 1)
            assert gateway.edge.counters()["gone"] == 1
            assert client.transport.get_write_buffer_size() > 0  # it was not waited for

    run(test())


def test_loop_that_was_held_up_sends_nothing_for_a_client_whose_end_it_has_yet_to_read(monkeypatch):
    async def test():
        server = FakeServer(lambda words: None)
        async with node(server, plans=ONE_AT_A_TIME) as gateway:
            first = await gateway.peer()
            first.send(call(1, "buy", plan="one"))
            await server.until(lambda: len(server.commands) == 1)
            second = await gateway.peer()
            second.send(call(2, "buy", plan="one"))
            await until(lambda: len(gateway.driver.calls) == 2)
            client = list(gateway.clients.connections)[1]
            # Its end is in the kernel and comes to be read behind the answer that makes room.
            gateway.clients.departures.forget(client)
            client.paused = True
            client.transport.pause_reading()
            second.writer.close()
            await until(lambda: has_gone(client.socket))
            monkeypatch.setattr(gateway.driver.lag, "held_up", lambda: True)
            server.writers[server.by[0]].write(array(b"v"))
            assert await first.reply() == b"v"
            assert gateway.edge.counters()["gone"] == 1 and not gateway.driver.calls
            assert len(server.commands) == 1

    run(test())


def connect(gateway):
    """A plain socket: what it sends and its end are in the gateway's kernel when the call returns."""
    return socket.create_connection(gateway.clients.listener.getsockname())


def end(sock, how):
    if how == "reset":
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    if how == "half-close":
        sock.shutdown(socket.SHUT_WR)
    else:
        sock.close()


@pytest.mark.parametrize("sent", [call(2), call(2) + call(4, "buy"), call(2, "buy") + call(4)[:20]])
@pytest.mark.parametrize("how", ["close", "half-close", "reset"])
def test_client_that_left_while_its_connection_was_in_the_backlog_is_not_sent_on(how, sent):
    async def test():
        server = FakeServer(lambda words: None)
        async with node(server, most_connections=1) as gateway:
            first = await gateway.peer()
            first.send(call(1))
            await server.until(lambda: len(server.commands) == 1)  # it holds the only place
            second = connect(gateway)
            second.sendall(sent)
            end(second, how)
            server.writers[0].write(array(b"v"))
            assert await first.reply() == b"v"
            first.writer.close()
            third = await gateway.peer()
            third.send(call(3))
            await server.until(lambda: any(int(words[2], 16) == 3 for words in server.commands))
            assert [int(words[2], 16) for words in server.commands] == [1, 3]
            assert gateway.driver.counters.attempts == 2  # none was begun and stopped
            assert list(gateway.driver.calls) == [f"{3:016x}"]
            second.close()

    run(test())


def test_client_that_left_before_a_successor_took_over_the_listener_is_not_sent_on():
    async def test():
        server = FakeServer()
        async with node(server) as gateway:
            with socket.create_server(("127.0.0.1", 0)) as listener:
                gone = socket.create_connection(listener.getsockname())
                gone.sendall(call(1))
                gone.close()
                stays = socket.create_connection(listener.getsockname())
                stays.sendall(call(2))
                gateway.clients._close_listener()
                gateway.edge.inherit(os.dup(listener.fileno()))
                await server.until(lambda: bool(server.commands))
                await until(lambda: not gateway.driver.calls)
                assert [int(words[2], 16) for words in server.commands] == [2]
                assert gateway.driver.counters.attempts == 1
                stays.close()

    run(test())


def test_client_that_left_behind_the_second_half_of_its_first_command_is_not_sent_on():
    async def test():
        server = FakeServer()
        async with node(server) as gateway:
            sock, command = connect(gateway), call(1)
            sock.sendall(command[:20])
            await until(lambda: any(client.within for client in gateway.clients.connections))
            sock.sendall(command[20:])
            sock.close()
            await until(lambda: not gateway.clients.connections)
            assert await (await gateway.peer()).ask(call(2)) == b"%016x" % 2
            assert [int(words[2], 16) for words in server.commands] == [2]
            assert gateway.driver.counters.attempts == 1

    run(test())


def test_client_that_left_while_the_process_stood_still_with_nothing_in_hand_is_not_sent_on():
    """Nothing in hand: the loop's lag is not watched, and nothing else tells that it stood still."""

    async def test():
        server = FakeServer()
        async with node(server) as gateway:
            sock = connect(gateway)
            sock.sendall(call(1))
            await server.until(lambda: len(server.commands) == 1)
            await until(lambda: not gateway.driver.calls and not gateway.driver.lag.watching)
            sock.sendall(call(2))
            sock.close()
            await until(lambda: not gateway.clients.connections)
            assert await (await gateway.peer()).ask(call(3)) == b"%016x" % 3
            assert [int(words[2], 16) for words in server.commands] == [1, 3]
            assert gateway.driver.counters.attempts == 2

    run(test())


# Guards against requests that are sent on for a client which left while others had their turn.
def test_client_that_left_while_its_next_batch_waited_for_its_turn_is_not_sent_on(monkeypatch):
    monkeypatch.setattr(net_servers, "REST_S", 0.0)  # connections to the server are at hand
    monkeypatch.setattr(read_turns, "MOST_AT_ONCE", 8)

    async def test():
        server = FakeServer(lambda words: None if words[2].endswith(b"9") else array(b"v"))
        async with node(server) as gateway:
            other = await gateway.peer()
            other.send(*(call(number) for number in range(48, 56)))
            assert [await other.reply() for _ in range(8)] == [b"v"] * 8
            other.send(call(9))  # in hand for good: the loop's lag is watched, and trusted
            await server.until(lambda: server.commands)
            with socket.create_connection(gateway.clients.listener.getsockname()) as sock:
                sock.setblocking(False)
                loop = asyncio.get_running_loop()
                await loop.sock_sendall(sock, call(1))
                assert await loop.sock_recv(sock, 1024)
                behind = b"".join(call(number) for number in range(2, 7))
                sock.send(call(25) + resp("PING") * 7 + behind)  # nothing is written before 25 is answered
            await until(lambda: len(gateway.clients.connections) == 1)
            assert not {int(words[2], 16) for words in server.commands} & set(range(2, 7))

    run(test())


def pipeline(first, count):
    return b"".join(call(number, "buy", plan="one") for number in range(first, first + count))


async def leave_behind(sock, text, how):
    """Send all of it, so that the end stands behind more than the gateway's window takes, and leave."""
    await asyncio.get_running_loop().sock_sendall(sock, text)
    if how == "half-close":
        sock.shutdown(socket.SHUT_WR)
    else:
        sock.close()


# Guards against attempts for a client that has left, whose end stands behind thousands of unread requests.
@pytest.mark.parametrize("room", ["read ahead", "memory short"])
@pytest.mark.parametrize("how", ["close", "half-close"])
def test_client_that_leaves_behind_thousands_of_unread_requests_has_none_sent_on(how, room, monkeypatch):
    if room == "memory short":
        monkeypatch.setattr(client_memory, "MOST_AHEAD", 0)

    async def test():
        server = FakeServer(lambda words: None)
        async with node(server, plans=ONE_AT_A_TIME) as gateway:
            other = await gateway.peer()
            other.send(call(9000, "buy", plan="one"))
            await server.until(lambda: server.commands)  # the customer's place is taken
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1 << 20)
            sock.setblocking(False)
            await asyncio.get_running_loop().sock_connect(sock, gateway.clients.listener.getsockname())
            await until(lambda: len(gateway.clients.connections) == 2)
            await leave_behind(sock, pipeline(1, 2000), how)
            if room == "memory short":
                await until(lambda: any(client.may_have_left() for client in gateway.clients.connections))
                await until(
                    lambda: any(client.slots and client.paused for client in gateway.clients.connections)
                )
                monkeypatch.setattr(net_call, "UNSURE_S", 0.0)  # it has waited long enough
            else:
                await until(lambda: len(gateway.clients.connections) == 1)
            server.writers[0].write(array(b"v"))  # the place is free: the next one could go
            assert await other.reply() == b"v"
            await until(lambda: len(gateway.clients.connections) == 1 and not gateway.driver.calls)
            assert len(server.commands) == 1
            sock.close()

    run(test())


# Guards against a second run of a request whose id comes again after its client has left.
@pytest.mark.parametrize("limits", [SETTINGS.limits, NO_CANCELS])
@pytest.mark.parametrize("kind", ["buy", "post"])
def test_id_that_comes_again_after_its_client_has_left_does_not_run_twice(kind, limits):
    async def test():
        server = FakeServer(lambda words: None if int(words[2], 16) == 1 else array(b"v"))
        async with node(server, limits=limits) as gateway:
            first = await gateway.peer()
            first.send(call(1, kind))
            await server.until(lambda: server.commands)
            first.writer.close()
            await until(lambda: not gateway.clients.connections)
            again = await gateway.peer()
            assert (await again.ask(call(1, kind))).startswith("-ERR")
            assert await again.ask(call(2, kind)) == b"v"
            assert (await again.ask(call(2, kind))).startswith("-ERR")  # it has been served
            assert [int(words[2], 16) for words in server.commands] == [1, 2]

    run(test())


# Guards against failing a request that comes again, though all that it came to is known never to have run.
def test_id_that_comes_again_after_it_was_refused_is_served():
    async def test():
        server = FakeServer(lambda words: b"-BUSY\r\n")
        async with node(server) as gateway:
            peer = await gateway.peer()
            assert await peer.ask(call(1, "buy")) == "-BUSY"
            server.answer = lambda words: array(b"v")
            assert await peer.ask(call(1, "buy")) == b"v"

    run(test())
