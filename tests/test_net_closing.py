"""Bytes that arrive in the moment in which the gateway closes: every reply that is owed comes whole."""

import asyncio
import contextlib
import errno
import socket

import pytest
from fakes import SETTINGS, FakeServer, Peer, array, call, node, resp, run, until

from brackenloft import Plan
from brackenloft.edge import edge as edge_module
from brackenloft.net import client as client_module
from brackenloft.net import client_closing, kernel
from brackenloft.net import clients as clients_module

VALUE = b"x" * 12_000  # more than the peers below have room for in their kernel
REPLY = b"$12000\r\n" + VALUE + b"\r\n"


async def narrow(gateway, ours=4096):
    """A peer that has little room for replies, and its connection at the gateway, which has so much."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.connect(gateway.clients.listener.getsockname())
    sock.setblocking(False)
    await until(lambda: bool(gateway.clients.connections))
    client = list(gateway.clients.connections)[-1]
    client.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, ours)
    return sock, client


async def all_of(sock):
    """What comes until the end; ConnectionResetError: it was no end."""
    loop, got = asyncio.get_running_loop(), b""
    with contextlib.closing(sock):
        while data := await loop.sock_recv(sock, 4096):
            got += data
    return got


def test_command_that_lands_between_the_last_look_and_the_close_resets_no_reply_away(monkeypatch):
    async def test():
        async with node(FakeServer(lambda words: array(VALUE))) as gateway:
            sock, client = await narrow(gateway, 1 << 20)
            looks = []

            def unread(ours):
                looks.append(ours)
                sock.send(call(2))  # nothing had come when it was looked at
                return False

            sock.send(call(1))
            await until(lambda: client.asked == 1 and not client.slots)
            await until(lambda: not client.transport.get_write_buffer_size())
            monkeypatch.setattr(kernel, "unread", unread)
            monkeypatch.setattr(client_closing, "QUIET_S", 0.0)
            client.parting = True
            client.flush()
            await until(lambda: bool(looks))
            monkeypatch.undo()
            # What the peer sent last was read by nobody, and it is told so by the end.
            assert (await all_of(sock) == REPLY) is True
            await until(lambda: not gateway.clients.connections)
            assert not gateway.driver.calls

    run(test())


def test_first_request_that_is_turned_away_takes_no_whole_command_behind_it_along(monkeypatch):
    async def test():
        async with node(FakeServer()) as gateway:
            other = await gateway.peer()
            assert await other.ask(call(1, plan="tiny")) == b"%016x" % 1
            monkeypatch.setattr(gateway.clients, "short", lambda: True)
            peer = await gateway.peer()
            peer.send(call(3, plan="tiny"), call(4))
            assert (await peer.reply()).startswith("-BUSY")
            assert await peer.reply() == b"%016x" % 4
            assert await peer.reply() is None

    run(test())


@pytest.mark.parametrize("bad", [b"!junk\r\n", resp("NONSENSE") * client_module.MOST_ERRORS])
def test_replies_before_a_command_that_ends_the_connection_come_whole_however_late_they_are_taken(
    bad, monkeypatch
):
    monkeypatch.setattr(client_closing, "LINGER_S", 0.0)

    async def test():
        async with node(FakeServer(lambda words: array(VALUE))) as gateway:
            sock, client = await narrow(gateway)
            sock.send(b"".join(call(number) for number in range(1, 5)) + bad)
            await until(lambda: client.ending and all(slot.answer is not None for slot in client.slots))
            got = await all_of(sock)
            assert (got.startswith(4 * REPLY + b"-ERR ")) is True
            await until(lambda: not gateway.clients.connections)

    run(test())


def test_bytes_behind_what_ended_the_connection_reset_no_reply_away(monkeypatch):
    monkeypatch.setattr(client_closing, "LINGER_S", 0.0)

    async def test():
        async with node(FakeServer(lambda words: array(VALUE))) as gateway:
            sock, client = await narrow(gateway, 1 << 20)
            sock.send(call(1) + b"!junk\r\n")
            await until(lambda: client.ending)
            sock.send(b"more that nobody reads")
            assert (await all_of(sock)).startswith(REPLY + b"-ERR ") is True
            await until(lambda: not gateway.clients.connections)
            assert gateway.driver.obligations.breaches == {}

    run(test())


def test_who_goes_on_sending_as_the_time_runs_out_is_answered_at_once_and_nothing_of_it_is_sent_on():
    async def test():
        server = FakeServer(lambda words: None)
        async with node(server) as gateway:
            peer = await gateway.peer()
            peer.send(call(1))
            await server.until(lambda: len(server.commands) == 1)
            gateway.clients.stop_listening(0.0)
            assert gateway.clients.finishing()
            peer.send(call(2), call(3, "buy"))
            await until(lambda: len(next(iter(gateway.clients.connections)).slots) == 3)
            server.writers[0].write(array(b"v"))
            assert [await peer.reply() for _ in range(4)] == [b"v", "-BUSY", "-BUSY", None]
            assert len(server.commands) == 1

    run(test())


def test_who_asks_one_by_one_as_the_time_runs_out_is_served_and_its_connection_closed_behind_the_reply():
    async def test():
        async with node(FakeServer()) as gateway:
            peer = await gateway.peer()
            gateway.clients.stop_listening(0.0)
            assert gateway.clients.finishing()
            peer.send(call(1))  # it has come before that is acted on
            await until(lambda: bool(gateway.driver.calls))
            assert await peer.reply() == b"%016x" % 1
            assert await peer.reply() is None

    run(test())


@pytest.mark.parametrize("sent", [b"", call(9)[:20]])
def test_what_is_answered_last_of_all_goes_out_before_its_connection_is_closed(sent):
    """Many answers are given in one moment, at the end of the time that closing may take."""

    async def test():
        server, owed = FakeServer(lambda words: None), 30
        async with node(server, plans=(Plan("free"),), limits=SETTINGS.limits) as gateway:
            peers = [await Peer().open(gateway.clients.listener.getsockname()[1]) for _ in range(3)]
            for first, peer in enumerate(peers):
                peer.send(*(call(100 * first + number) for number in range(1, owed + 1)), sent)
            await until(lambda: len(gateway.driver.calls) == len(peers) * owed)
            await gateway.edge.close(0.0)
            for peer in peers:
                replies = [await peer.reply() for _ in range(owed)]
                assert all(reply in ("-BUSY", "-ERR failed") for reply in replies)
                assert not sent or await peer.reply() == "-BUSY"
                assert await peer.reply() is None

    run(test())


def test_request_behind_what_ended_the_connection_in_one_read_is_answered():
    async def test():
        server = FakeServer()
        async with node(server) as gateway:
            peer = await gateway.peer()
            peer.send(resp("NONSENSE") * (client_module.MOST_ERRORS + 2) + call(1))
            for _ in range(client_module.MOST_ERRORS + 2):
                assert (await peer.reply()).startswith("-ERR ")
            assert await peer.reply() == "-BUSY" and await peer.reply() is None
            assert not server.commands and gateway.driver.obligations.breaches == {}

    run(test())


def test_command_that_comes_behind_our_end_is_left_in_the_kernel(monkeypatch):
    monkeypatch.setattr(client_closing, "QUIET_S", 0.0)

    async def test():
        async with node(FakeServer()) as gateway:
            peer = await gateway.peer()
            assert await peer.ask(call(1)) == b"%016x" % 1
            (client,) = gateway.clients.connections
            client.parting = True
            client.flush()
            assert client.half_closed
            peer.send(call(2))
            await until(lambda: client.transport is None)
            assert gateway.driver.counters.requests == 1 and gateway.driver.obligations.breaches == {}

    run(test())


def test_answers_still_to_be_written_at_the_very_end_are(monkeypatch):
    monkeypatch.setattr(edge_module, "WRITE_S", 30.0)  # the peer reads as fast as this machine lets it

    async def test():
        async with node(FakeServer(lambda words: array(VALUE))) as gateway:
            sock, client = await narrow(gateway)
            sock.send(b"".join(call(number) for number in range(1, 5)))
            await until(lambda: client.asked == 4 and not client.slots)
            assert client.transport.get_write_buffer_size() > 0
            _, got = await asyncio.gather(gateway.edge.close(0.0), all_of(sock))
            assert (got == 4 * REPLY) is True

    run(test())


def test_listener_whose_accept_fails_as_the_process_leaves_is_closed_all_the_same(monkeypatch):
    class Failing:
        """A listener that fails once, with nobody waiting behind."""

        def __init__(self, listener):
            self.listener, self.failed = listener, False

        def accept(self):
            if not self.failed:
                self.failed = True
                raise OSError(errno.ECONNABORTED, "gone again")
            return self.listener.accept()

        def __getattr__(self, name):
            return getattr(self.listener, name)

    async def test():
        async with node(FakeServer()) as gateway:
            gateway.clients.listener = Failing(gateway.clients.listener)
            monkeypatch.setattr(clients_module, "waiting_connections", lambda listener: 1)
            gateway.clients.stop_listening()
            assert gateway.clients.listener
            await until(lambda: gateway.clients.listener is None)

    run(test())


async def rested(gateway):
    """A socket whose one request has been answered, and its connection."""
    sock = socket.create_connection(gateway.clients.listener.getsockname())
    sock.setblocking(False)
    sock.send(call(1))
    await until(lambda: any(client.asked for client in gateway.clients.connections))
    (client,) = gateway.clients.connections
    await until(lambda: not client.slots and not client.undelivered())
    sock.recv(4096)
    return sock, client


# Guards against an end that is decided now and takes place a turn of the loop later, over what comes between.
@pytest.mark.parametrize("way", ["half-close", "room"])
def test_end_between_requests_takes_place_in_the_turn_that_decides_on_it(way, monkeypatch):
    monkeypatch.setattr(client_closing, "QUIET_S", 0.0)

    async def test():
        async with node(FakeServer()) as gateway:
            sock, client = await rested(gateway)
            with sock:
                if way == "room":
                    assert client.drop()
                else:
                    client.parting = True
                    client.flush()
                assert sock.recv(1) == b""  # no turn of the loop has passed
                assert gateway.driver.obligations.breaches == {}

    run(test())


@pytest.mark.parametrize("way", ["half-close", "room"])
def test_connection_is_not_ended_over_a_request_that_came_before_the_end(way, monkeypatch):
    monkeypatch.setattr(client_closing, "QUIET_S", 0.0)

    async def test():
        async with node(FakeServer()) as gateway:
            sock, client = await rested(gateway)
            with sock:
                sock.send(call(2))
                if way == "room":
                    assert not client.drop()
                else:
                    client.parting = True
                    client.flush()
                    assert not client.half_closed
                await until(lambda: client.asked == 2)

    run(test())


# Guards against an end right behind a refusal, when its client is most likely to ask again.
def test_connection_whose_first_request_is_turned_away_stays_while_its_client_asks_again_at_once(monkeypatch):
    monkeypatch.setattr(client_closing, "QUIET_S", 60.0)

    async def test():
        async with node(FakeServer()) as gateway:
            other = await gateway.peer()
            assert await other.ask(call(1, plan="tiny")) == b"%016x" % 1
            monkeypatch.setattr(gateway.clients, "short", lambda: True)
            peer = await gateway.peer()
            assert (await peer.ask(call(2, plan="tiny"))).startswith("-BUSY")
            gateway.clients._make_room()
            assert await peer.ask(call(3)) == b"%016x" % 3
            monkeypatch.setattr(client_closing, "QUIET_S", 0.0)
            gateway.clients._make_room()
            assert await peer.reply() is None

    run(test())
