"""Every end of a client's connection is counted once, by its reason, and told where something was owed."""

import asyncio
import errno
import logging
import socket
import struct

import pytest
from fakes import FakeServer, call, node, run, until

from brackenloft.net import client_closing
from brackenloft.obligations import Breach, CloseReason, HalfCloseReason

RESET = struct.pack("ii", 1, 0)  # struct linger: on, for no time


async def connected(gateway):
    """A plain socket to the gateway, and its connection there."""
    sock = socket.create_connection(gateway.clients.listener.getsockname())
    sock.setblocking(False)
    await until(lambda: bool(gateway.clients.connections))
    return sock, list(gateway.clients.connections)[-1]


async def ended(gateway):
    """What the audit counts when all connections have ended."""
    await until(lambda: not gateway.clients.connections and not gateway.clients.queue)
    return dict(gateway.driver.obligations.closed)


@pytest.mark.parametrize("with_request", [False, True])
@pytest.mark.parametrize("resets", [False, True])
def test_end_by_the_peer_is_counted_once_and_names_the_requests_that_are_withdrawn(
    resets, with_request, caplog
):
    caplog.set_level(logging.INFO)

    async def test():
        server = FakeServer(lambda words: None)
        async with node(server) as gateway:
            sock, _ = await connected(gateway)
            if with_request:
                sock.send(call(0xA1B2))
                await server.until(lambda: len(server.commands) == 1)
            if resets:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            sock.close()
            reason = CloseReason.PEER_RESET if resets else CloseReason.PEER_LEFT
            assert await ended(gateway) == {reason: 1}
            assert not gateway.driver.obligations.breaches

    run(test())
    assert any("a1b2" in record.getMessage() for record in caplog.records) is with_request


def test_transport_that_fails_by_itself_over_a_request_is_a_breach_that_names_it(caplog):
    async def test():
        server = FakeServer(lambda words: None)
        async with node(server) as gateway:
            sock, client = await connected(gateway)
            sock.send(call(0xA1B2))
            await server.until(lambda: len(server.commands) == 1)
            client.transport._force_close(OSError(errno.EBADF, "not a descriptor any more"))
            with sock:
                assert await ended(gateway) == {CloseReason.TRANSPORT_FAILED: 1}
            assert gateway.driver.obligations.breaches == {Breach.CLOSED_UNANSWERED: 1}

    run(test())
    assert any("a1b2" in record.getMessage() and record.unrationed for record in caplog.records)


@pytest.mark.parametrize("error", [FileExistsError(errno.EEXIST, "taken"), RuntimeError("used by transport")])
def test_connection_that_the_loop_does_not_take_is_counted_and_gives_its_place_back(
    error, monkeypatch, caplog
):
    async def test():
        async with node(FakeServer()) as gateway:
            taken = gateway.clients.places

            async def fails(*arguments, **more):
                raise error

            monkeypatch.setattr(gateway.clients, "loop", FailingLoop(gateway.clients.loop, fails))
            with socket.create_connection(gateway.clients.listener.getsockname()) as sock:
                sock.send(call(1))
                closed = gateway.driver.obligations.closed
                await until(lambda: closed == {CloseReason.NOT_ADMITTED: 1})
            assert gateway.clients.places == taken

    run(test())
    assert any(CloseReason.NOT_ADMITTED in record.getMessage() for record in caplog.records)


class FailingLoop:
    """A loop that takes over no accepted connection."""

    def __init__(self, loop, connect_accepted_socket):
        self.loop, self.connect_accepted_socket = loop, connect_accepted_socket

    def __getattr__(self, name):
        return getattr(self.loop, name)


def test_peer_that_leaves_the_accept_queue_is_counted(monkeypatch):
    async def test():
        async with node(FakeServer()) as gateway:
            monkeypatch.setattr(gateway.clients, "_places_free", lambda: 0)
            sock = socket.create_connection(gateway.clients.listener.getsockname())
            await until(lambda: len(gateway.clients.queue) == 1)
            sock.close()
            gateway.clients.admit_soon()
            assert await ended(gateway) == {CloseReason.PEER_LEFT_QUEUE: 1}

    run(test())


def test_connections_that_were_never_read_are_counted_as_the_process_ends(monkeypatch):
    async def test():
        async with node(FakeServer()) as gateway:
            monkeypatch.setattr(gateway.clients, "_places_free", lambda: 0)
            with socket.create_connection(gateway.clients.listener.getsockname()):
                await until(lambda: len(gateway.clients.queue) == 1)
                gateway.clients.abort()
                obligations = gateway.driver.obligations
                assert obligations.closed == {CloseReason.PROCESS_ENDS: 1}
                assert not obligations.closed_unread

    run(test())


def test_request_that_crosses_a_half_close_is_told_with_the_reason_of_that(caplog, monkeypatch):
    monkeypatch.setattr(client_closing, "QUIET_S", 0.0)
    caplog.set_level(logging.INFO)

    async def test():
        async with node(FakeServer()) as gateway:
            sock, client = await connected(gateway)
            sock.send(call(1))
            await until(lambda: client.spoke and not client.slots)
            client.parting = True
            client.flush()
            assert client.half_closed
            sock.send(call(2))
            await asyncio.get_running_loop().sock_recv(sock, 4096)
            sock.close()
            assert await ended(gateway) == {CloseReason.PEER_LEFT: 1}
            obligations = gateway.driver.obligations
            assert obligations.half_closed == obligations.crossed == {HalfCloseReason.PLACES_SHORT: 1}

    run(test())
    assert any(
        "not read" in r.getMessage() and HalfCloseReason.PLACES_SHORT.name in r.getMessage()
        for r in caplog.records
    )
