"""A loop that was held up: what was asked for by a client whose end is still to be read goes out for nobody.

Each test holds a client's end in the kernel, as it is in the turn of the loop in which the other event is
handled first: its connection is paused and not watched.
"""

import asyncio
import time

import pytest
from fakes import HOUSINGS, FakeServer, array, call, node, run, until

from brackenloft import Plan
from brackenloft.net import servers as net_servers
from brackenloft.net.driver import LATE_MS
from brackenloft.net.kernel import has_gone
from brackenloft.net.lag import BEAT_S, Lag

ONE_AT_A_TIME = (Plan("free"), Plan("one", max_in_flight=1))
pytestmark = pytest.mark.parametrize("in_a_housing", HOUSINGS, indirect=True)
BLOCK_S = 4 * LATE_MS / 1000.0


def make_unread(gateway, number):
    """What the client of this place sends from now on lies in the kernel."""
    client = list(gateway.clients.connections)[number]
    gateway.clients.departures.forget(client)
    client.paused = True
    client.transport.pause_reading()
    return client


class Blocker(asyncio.Protocol):
    """Holds up the loop in one of its callbacks of sockets, once."""

    def __init__(self, meanwhile):
        self.meanwhile, self.done = meanwhile, False

    def data_received(self, data):
        if not self.done:
            self.done = True
            self.meanwhile()
            time.sleep(BLOCK_S)


async def hold_up(meanwhile):
    """Block the loop in a callback of a socket; what ``meanwhile`` does is in the kernel then."""
    blocker = Blocker(meanwhile)
    listener = await asyncio.get_running_loop().create_server(lambda: blocker, "127.0.0.1", 0)
    _, writer = await asyncio.open_connection(*listener.sockets[0].getsockname())
    writer.write(b"x")
    await until(lambda: blocker.done)
    writer.close()
    listener.close()


def test_answer_that_is_read_behind_a_block_of_the_loop_makes_room_for_nobody_who_has_gone():
    """The block is noted by an outcome or by the beat before the parked request is sent."""

    async def test():
        server = FakeServer(lambda words: None)
        async with node(server, plans=ONE_AT_A_TIME) as gateway:
            first = await gateway.peer()
            first.send(call(1, "buy", plan="one"))
            await server.until(lambda: len(server.commands) == 1)
            second = await gateway.peer()
            second.send(call(2, "buy", plan="one"))
            await until(lambda: len(gateway.driver.calls) == 2)
            client = make_unread(gateway, 1)

            def meanwhile():
                answer = server.writers[server.by[0]].get_extra_info("socket")
                assert answer.dup().send(array(b"v")) == len(array(b"v"))
                second.writer.get_extra_info("socket").dup().shutdown(1)

            await hold_up(meanwhile)
            assert await first.reply() == b"v"
            assert has_gone(client.socket)
            await until(lambda: not gateway.driver.calls)
            assert gateway.edge.counters()["gone"] == 1
            assert len(server.commands) == 1

    run(test())


def test_connection_that_comes_up_in_a_turn_in_which_its_clients_end_is_to_be_read_is_not_written_to(
    monkeypatch,
):
    async def test():
        server, up = FakeServer(), asyncio.Event()
        async with node(server) as gateway:
            late(gateway.servers, up)
            await leave_unread(gateway, 1)
            monkeypatch.setattr(gateway.driver.lag, "held_up", lambda: True)
            up.set()
            await until(lambda: not gateway.driver.calls)
            assert gateway.edge.counters()["gone"] == 1
            assert await (await gateway.peer()).ask(call(2)) == b"%016x" % 2
            assert [int(words[2], 16) for words in server.commands] == [2]

    run(test())


def test_attempt_that_waits_for_a_connection_to_have_rested_is_not_written_when_its_clients_end_is_to_be_read(
    monkeypatch,
):
    async def test():
        server = FakeServer()
        async with node(server) as gateway:
            other = await gateway.peer()
            assert await other.ask(call(1)) == b"%016x" % 1
            monkeypatch.setattr(net_servers, "COMING_UP", 0)  # no other connection
            monkeypatch.setattr(net_servers, "REST_S", 3600.0)
            await leave_unread(gateway, 2)
            monkeypatch.setattr(gateway.driver.lag, "held_up", lambda: True)
            monkeypatch.setattr(net_servers, "REST_S", 0.0)
            (host,) = gateway.servers.hosts.values()
            host.timer.cancel()
            gateway.servers._have_rested(host)
            await until(lambda: not gateway.driver.calls)
            assert gateway.edge.counters()["gone"] == 1
            monkeypatch.undo()
            assert await other.ask(call(3)) == b"%016x" % 3
            assert [int(words[2], 16) for words in server.commands] == [1, 3]

    run(test())


async def leave_unread(gateway, number):
    """A new client asks for this, and leaves with its end unread."""
    peer = await gateway.peer()
    peer.send(call(number, "buy"))
    await until(lambda: f"{number:016x}" in gateway.driver.calls)
    client = make_unread(gateway, -1)
    peer.writer.close()
    await until(lambda: has_gone(client.socket))


def late(servers, up):
    """Connects come up when ``up`` is set."""
    connect = servers.connect

    async def connect_late(sock, address):
        await up.wait()
        await connect(sock, address)

    servers.connect = connect_late


class Clockwork:
    """A loop whose beats are called by hand."""

    def __init__(self):
        self.calls = []

    def call_later(self, delay_s, call):
        self.calls.append(call)
        return self

    def cancel(self):
        self.calls.clear()


def test_loop_counts_as_held_up_until_a_whole_beat_after_the_block_came_in_time(monkeypatch):
    now = [100.0]
    monkeypatch.setattr(time, "monotonic", lambda: now[0])
    loop, stalls = Clockwork(), []
    lag = Lag(loop, LATE_MS, stalls.append, lambda: True)
    lag.watch()
    assert not lag.held_up()
    now[0] += BEAT_S + BLOCK_S
    assert lag.held_up()
    lag.excuse(100.0, 100.0, now[0])  # an attempt ends in that turn: the block is noted
    assert len(stalls) == 1 and lag.held_up()
    loop.calls.pop()()  # the beat of that turn, before what has come meanwhile is read
    assert lag.held_up()
    now[0] += BEAT_S
    loop.calls.pop()()
    assert not lag.held_up()
